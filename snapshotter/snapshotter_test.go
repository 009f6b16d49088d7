package snapshotter_test

import (
	"encoding/json"
	"time"

	"bamboohook/snapshotter"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Snapshotter", func() {
	var (
		startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		options   = snapshotter.Options{ChunkBytes: 4, MaxBytes: 20, MaxPartialSnapshots: 1, Retention: time.Hour, RetentionEntries: 100}
	)
	split := func(id, data string) []snapshotter.Chunk {
		records, err := snapshotter.New(options).Split(snapshotter.Snapshot{ID: id, Name: "configuration", Offset: 7, Data: []byte(data)})
		Expect(err).NotTo(HaveOccurred())
		chunks := make([]snapshotter.Chunk, len(records))
		for i, r := range records {
			Expect(json.Unmarshal(r.Body, &chunks[i])).To(Succeed())
		}
		return chunks
	}
	chunks, otherSnapshotChunks := split("s", "0123456789"), split("t", "abcdefghij")
	modifiedChunks := split("s", "0123456789")
	modifiedChunks[1].Data = []byte("xxxx")
	otherHashChunks := split("s", "0123x56789")

	// A process would replace its state by an invalid one if Add returned an incomplete or modified snapshot.
	for name, t := range map[string]struct {
		chunks []snapshotter.Chunk
		want   string
	}{
		"in order":                     {chunks, "0123456789"},
		"any order, duplicate":         {[]snapshotter.Chunk{chunks[2], chunks[0], chunks[2], chunks[1]}, "0123456789"},
		"empty state":                  {split("e", ""), ""},
		"chunk missing":                {chunks[:2], "none"},
		"modified data":                {modifiedChunks, "none"},
		"chunks with different hashes": {[]snapshotter.Chunk{chunks[0], otherHashChunks[1], chunks[2]}, "none"},
		"evicted by another snapshot":  {[]snapshotter.Chunk{chunks[0], chunks[1], otherSnapshotChunks[0], chunks[2]}, "none"},
		"index out of range":           {[]snapshotter.Chunk{{ID: "s", Index: 3, Count: 2}}, "none"},
		"too many bytes":               {[]snapshotter.Chunk{{ID: "s", Count: 2, Data: make([]byte, 21)}, {ID: "s", Index: 1, Count: 2}}, "none"},
	} {
		It("reassembles a snapshot only from complete and matching chunks: "+name, func() {
			s := snapshotter.New(options)
			got := "none"
			for i, c := range t.chunks {
				if snapshot, complete := s.Add(uint64(i+1), startTime, c); complete {
					got = string(snapshot.Data)
					Expect(snapshot.Offset).To(Equal(t.chunks[0].Offset))
				}
			}
			Expect(got).To(Equal(t.want))
		})
	}

	It("does not split a state that is too large", func() {
		_, err := snapshotter.New(options).Split(snapshotter.Snapshot{ID: "s", Data: make([]byte, 21)})
		Expect(err).To(MatchError(snapshotter.ErrTooLarge))
	})

	It("reports that a snapshot is due after half of the retention period or half of the retained entries", func() {
		s := snapshotter.New(options)
		Expect(s.Due(startTime, 1)).To(BeFalse(), "the stream is empty")
		Expect(s.Due(startTime, 2)).To(BeTrue())
		for i, c := range chunks {
			s.Add(uint64(10+i), startTime, c)
		}
		Expect(s.Due(startTime.Add(29*time.Minute), 59)).To(BeFalse())
		Expect(s.Due(startTime.Add(30*time.Minute), 59)).To(BeTrue())
		Expect(s.Due(startTime, 60)).To(BeTrue())
	})
})
