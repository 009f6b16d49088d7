package main

import "fmt"

// These limits apply to each process, except for appendRateLimit, which applies to the log service. The requirements
// allow it "several hundred" appends per second, which this program takes as 300. byteRateLimit is in bytes per second.
const (
	processorLimitPercent = 1.5
	memoryLimitMB         = 128.0
	byteRateLimit         = 15_000.0
	appendRateLimit       = 300.0
)

// The projection relies on these bounds, intervals and ratios, which describe the processes.
const (
	keptEndedJobs                 = 20_000
	keptChanges                   = 8192
	keptEvents                    = 4096
	maxJournalKeys                = 100_000
	journalBodyMB                 = 16.8
	snapshotIntervalSeconds       = 1800.0
	logRetentionSeconds           = 3600.0
	presenceRecordIntervalSeconds = 3.0
	statusIntervalSeconds         = 0.1
	doubleBase64Ratio             = 16.0 / 9
	ticksPerSecond                = 2.0
	simulatedConnections          = connectionCount
	// maxResidentPerHeap is the highest ratio of resident memory to heap in use. At the default garbage collection
	// target, the heap grows to twice the size of its reachable objects before it is collected.
	maxResidentPerHeap = 2.0
)

// project prints the projected costs at the size that the constants in fleet.go describe. It requires the fits of all
// sections.
func (r *report) project() {
	predict := func(name string, x float64) float64 { return r.fits[name].predict(x) }
	slope := func(name string) float64 { return r.fits[name].slope }
	vms, otherEntries := float64(vmsPerRegion), float64(entriesPerRegion-1)
	ownedTasksPerVM := tasksPerVM / entriesPerRegion
	startsPerSecond := float64(peakStartsPerSecond) / regionCount
	changesPerSecond := changesPerDay / secondsPerDay
	sectionCount := float64(len(inventorySections(fleetVMs)))
	heartbeatRate := vms * heartbeatsPerSecond
	fetchRate := changesPerSecond * vms / entriesPerRegion
	runningJobs := float64(batchTasks) / regionCount / 10
	snapshotMB := predict("snapshot-bytes", runningJobs) + predict("snapshot-done-bytes", keptEndedJobs)
	taskRecordByteRate := startsPerSecond * (slope("bytes-assignment") + slope("bytes-result"))
	jobsPerSecond := jobsPerDay / secondsPerDay / regionCount

	fmt.Printf("\n## projection\n\n%d VMs in a region, %d entries, %.2f tasks on a VM, %.0f sections\n", vmsPerRegion, entriesPerRegion, tasksPerVM, sectionCount)
	printHeading("entry: bytes a second", "KB/s")
	printByteRate := func(name string, bytes float64) { printRow(name, bytes/1000, byteRateLimit/1000) }
	heartbeatByteRate, responseByteRate := heartbeatRate*predict("heartbeat-bytes", tasksPerVM), heartbeatRate*predict("answer-bytes", ownedTasksPerVM)
	printByteRate("heartbeats received", heartbeatByteRate)
	printByteRate("their answers", responseByteRate)
	printByteRate("presence, 3 entries known", otherEntries*heartbeatsPerSecond*2*predict("presence-bytes", otherEntries+1))
	printByteRate("presence, 12 entries known", 11*heartbeatsPerSecond*2*predict("presence-bytes", 12))
	printByteRate("batch stream read, at the peak of starts", taskRecordByteRate+jobsPerSecond*slope("bytes-job"))
	printByteRate("batch stream written, at the peak", taskRecordByteRate/entriesPerRegion)
	printByteRate("snapshots read, on average", snapshotMB*1e6*doubleBase64Ratio/snapshotIntervalSeconds)
	printByteRate("configuration read", changesPerSecond*predict("change-bytes", 1))
	printByteRate("configuration to agents", fetchRate*predict("agent-configuration-bytes", servicesPerEndpoint))

	printHeading("entry: processor", "% of a core")
	printProcessorShare := func(name string, microseconds float64) { printRow(name, microseconds/1e4, processorLimitPercent) }
	printRow("all of a steady entry (section processes)", predict("entry-processor", vms), processorLimitPercent)
	printProcessorShare("of it: decoding", heartbeatRate*predict("decode", tasksPerVM))
	printProcessorShare("of it: owner.Heartbeat", heartbeatRate*predict("owner-heartbeat", ownedTasksPerVM))
	printProcessorShare("of it: forwarder.Observe", heartbeatRate*predict("observe", vms))
	printProcessorShare("of it: detector alone", heartbeatRate*predict("detector", vms))
	printProcessorShare("of it: noting changes of status", predict("members", vms)/statusIntervalSeconds)
	printProcessorShare("of it: owner.Tick", ticksPerSecond*predict("owner-tick", vms))
	printProcessorShare("replay at the peak of starts", 2*startsPerSecond*1000*(slope("replay-decode")+slope("replay-apply")))
	printProcessorShare("snapshots, on average", 1000*predict("snapshot-time", runningJobs)/snapshotIntervalSeconds)
	printProcessorShare("putting changes into effect", 1000*changesPerSecond*(predict("configuration-apply", sectionCount)+predict("configuration-refresh", sectionCount)))
	printProcessorShare("publishing a third of the changes", 1000*changesPerSecond/entriesPerRegion*predict("configuration-publish", sectionCount))
	printProcessorShare("answering agents after changes", 1000*fetchRate*predict("entry-fetch", sectionCount))

	printHeading("entry: memory", "MB")
	connectionsMB := (vms - simulatedConnections) * slope("connections-memory") / 2
	heapMB := []float64{
		predict("configuration-memory", sectionCount), predict("history-memory", keptChanges), predict("memory-done", keptEndedJobs), predict("events-memory", keptEvents),
	}
	totalMB := predict("entry-memory", vms) + connectionsMB
	printRow("resident with 14 tasks on each VM (section processes)", predict("entry-memory", vms), memoryLimitMB)
	printRow("connections beyond those measured there", connectionsMB, memoryLimitMB)
	for i, name := range []string{"configuration", "its history", "ended jobs", "event ring"} {
		printRow(name+" (heap; resident up to twice)", heapMB[i], memoryLimitMB)
		totalMB += maxResidentPerHeap * heapMB[i]
	}
	printRow("sum with twice the heap", totalMB, memoryLimitMB)
	printRow("while a snapshot is made: its copies", snapshotMB*(1+4.0/3+2*doubleBase64Ratio), memoryLimitMB)

	r.projectAgent(ownedTasksPerVM, changesPerSecond)
	r.projectLog(taskRecordByteRate, jobsPerSecond, changesPerSecond, snapshotMB, runningJobs, startsPerSecond)
}

// projectAgent prints the projected costs of an agent.
func (r *report) projectAgent(ownedTasksPerVM, changesPerSecond float64) {
	predict := func(name string, x float64) float64 { return r.fits[name].predict(x) }
	printHeading("agent", "as stated")
	printRow("processor, 14 tasks and 3 entries, % of a core", predict("agent-processor", tasksPerVM), processorLimitPercent)
	printRow("resident memory, MB", predict("agent-memory", tasksPerVM), memoryLimitMB)
	printRow("event ring when full, MB heap", predict("events-memory", keptEvents), memoryLimitMB)
	journalMB := predict("journal-memory", maxJournalKeys) + journalBodyMB
	printRow("journal at its bounds, MB heap", journalMB, memoryLimitMB)
	printRow("sum with twice the heap, MB", predict("agent-memory", tasksPerVM)+maxResidentPerHeap*(journalMB+predict("events-memory", keptEvents)), memoryLimitMB)
	heartbeatByteRate := entriesPerRegion * heartbeatsPerSecond * predict("heartbeat-bytes", tasksPerVM)
	responseByteRate := entriesPerRegion * heartbeatsPerSecond * predict("answer-bytes", ownedTasksPerVM)
	printRow("heartbeats sent, KB/s", heartbeatByteRate/1000, byteRateLimit/1000)
	printRow("answers received, KB/s", responseByteRate/1000, byteRateLimit/1000)
	printRow("configuration, KB/s", changesPerSecond*predict("agent-configuration-bytes", servicesPerEndpoint)/1000, byteRateLimit/1000)
	printRow("sum of bytes, KB/s", (heartbeatByteRate+responseByteRate)/1000, byteRateLimit/1000)
}

// projectLog prints the projected load on the log service and the time that an entry takes to replay the log.
func (r *report) projectLog(taskRecordByteRate, jobsPerSecond, changesPerSecond, snapshotMB, runningJobs, startsPerSecond float64) {
	const entryCount = regionCount * entriesPerRegion
	printHeading("log service", "as stated")
	appendRate := entryCount*ticksPerSecond + regionCount*jobsPerSecond + changesPerSecond
	printRow("appends/s, idle: presence only", entryCount/presenceRecordIntervalSeconds, appendRateLimit)
	printRow("appends/s, every owner at each tick, each job and change alone", appendRate, appendRateLimit)
	printRow("appends/s, all 24 writers at their budget of 20", entryCount*2*20, appendRateLimit)
	printRow("appends/s without batches at the peak", 2*peakStartsPerSecond+regionCount*jobsPerSecond+changesPerSecond, appendRateLimit)
	printRow("KB/s appended at the peak", regionCount*taskRecordByteRate/1000, 0)
	printRow("KB/s read by all entries at the peak", entryCount*taskRecordByteRate/1000, 0)
	printHeading("restart of an entry at the peak rate", "s of a core")
	printRow("decoding an hour of records", 2*startsPerSecond*logRetentionSeconds*r.fits["replay-decode"].slope/1000, 0)
	// A restarting entry starts from the oldest retained snapshot, which was written at most logRetentionSeconds ago,
	// and applies the records after it.
	printRow("applying up to an hour of records", 2*startsPerSecond*logRetentionSeconds*r.fits["replay-apply"].slope/1000, 0)
	printRow("restoring the snapshot", (r.fits["restore-time"].predict(runningJobs)+r.fits["restore-done-time"].predict(keptEndedJobs))/1000, 0)
	printRow("size of the snapshot in MB, before encoding", snapshotMB, 0)
}

func printHeading(name, unit string) {
	fmt.Printf("\n### %s\n\n| row | value (%s) | limit | verdict |\n| --- | --- | --- | --- |\n", name, unit)
}

// printRow prints a value and whether it is within the limit. A limit of 0 means that there is none.
func printRow(name string, value, limit float64) {
	verdict, limitText := "–", "–"
	if limit > 0 {
		verdict, limitText = "within", formatValue(limit)
	}
	if limit > 0 && value > limit {
		verdict = fmt.Sprintf("past by a factor of %s", formatValue(value/limit))
	}
	fmt.Printf("| %s | %s | %s | %s |\n", name, formatValue(value), limitText, verdict)
}
