package configurator

import (
	"encoding/binary"
	"maps"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Hash returns the xxhash of the sections, taken in sorted order, as a hexadecimal string.
func Hash(sections Sections) string {
	digest := xxhash.New()
	writeString := func(s string) {
		// The length before each string makes the hash depend on where one string ends and the next begins.
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(s)))
		_, _ = digest.Write(length[:])
		_, _ = digest.WriteString(s)
	}
	for _, name := range slices.Sorted(maps.Keys(sections)) {
		writeString(name)
		writeString(strconv.Itoa(len(sections[name])))
		for _, key := range slices.Sorted(maps.Keys(sections[name])) {
			writeString(key)
			writeString(sections[name][key])
		}
	}
	return strconv.FormatUint(digest.Sum64(), 16)
}

func cloneSections(sections Sections) Sections {
	clone := make(Sections, len(sections))
	for name, section := range sections {
		clone[name] = maps.Clone(section)
	}
	return clone
}
