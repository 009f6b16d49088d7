package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

// childProcesses returns the process IDs of those children of this process whose command lines name one of the settings
// files in dir. It returns an error unless there is one process for each file.
func childProcesses(dir string, files []string) ([]int, error) {
	entries, err := os.ReadDir("/proc")
	if err != nil {
		return nil, err
	}
	ids := make([]int, 0, len(files))
	for _, e := range entries {
		id, err := strconv.Atoi(e.Name())
		if err != nil {
			continue
		}
		fields, err := processStat(id)
		if err != nil || fields[1] != strconv.Itoa(os.Getpid()) {
			continue
		}
		command, _ := os.ReadFile(fmt.Sprintf("/proc/%d/cmdline", id))
		for _, f := range files {
			if strings.Contains(string(command), filepath.Join(dir, f)+"\x00") {
				ids = append(ids, id)
			}
		}
	}
	if len(ids) != len(files) {
		return nil, fmt.Errorf("found %d child processes with the given settings files, want %d", len(ids), len(files))
	}
	return ids, nil
}

// processStat returns the fields of /proc/<id>/stat, starting with the process state.
func processStat(id int) ([]string, error) {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", id))
	if err != nil {
		return nil, err
	}
	// The fields before the state are the process ID and the program name in parentheses. The name may contain spaces.
	return strings.Fields(string(content[strings.LastIndexByte(string(content), ')')+1:])), nil
}

// processorTicks returns the processor time of the process in user and system mode, in clock ticks of 10 ms.
func processorTicks(id int) (float64, error) {
	fields, err := processStat(id)
	if err != nil {
		return 0, err
	}
	user, _ := strconv.ParseFloat(fields[11], 64)
	system, _ := strconv.ParseFloat(fields[12], 64)
	return user + system, nil
}

// residentMB returns the resident memory of the process in MB.
func residentMB(id int) (float64, error) {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", id))
	if err != nil {
		return 0, err
	}
	_, rest, _ := strings.Cut(string(content), "VmRSS:")
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		return 0, fmt.Errorf("/proc/%d/status does not contain the resident memory", id)
	}
	kibibytes, err := strconv.ParseFloat(fields[0], 64)
	return kibibytes * 1024 / 1e6, err
}
