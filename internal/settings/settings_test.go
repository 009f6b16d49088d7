package settings_test

import (
	"errors"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bamboohook/internal/settings"
)

// validSettings has the section on line 1 and its keys on lines 2 to 9. A line that a test appends is line 10.
const validSettings = `[agent]
name = vm-1
region = jamaica
data-centre = kingston-a
peer-address = 10.0.0.1:1
request-address = 10.0.0.1:2
announce-address = 127.0.0.1:3
operator-address = 0.0.0.0:4
worker-address = 127.0.0.1:5
`

var _ = Describe("Load and Parse", func() {
	// Guards against example files that are not updated when a setting is added or renamed, or when a default changes.
	It("loads the example files", func() {
		role, s, err := settings.Load("../../examples/settings/entry.ini")
		Expect(err).NotTo(HaveOccurred())
		Expect(role).To(Equal(settings.RoleEntry))
		defaults := settings.DefaultEntry()
		e := s.(*settings.Entry)
		Expect(e.Entries).To(Equal([]string{"127.0.0.1:7101", "127.0.0.1:7201"}))
		Expect([]any{e.LogRetention, e.Shards, e.HeartbeatInterval, e.DrainReadyTime, e.DrainTime, e.MaxBodyBytes, e.MaxHeaderBytes}).To(
			Equal([]any{defaults.LogRetention, defaults.Shards, defaults.HeartbeatInterval, defaults.DrainReadyTime, defaults.DrainTime, defaults.MaxBodyBytes, defaults.MaxHeaderBytes}))
		role, s, err = settings.Load("../../examples/settings/agent.ini")
		Expect(err).NotTo(HaveOccurred())
		Expect(role).To(Equal(settings.RoleAgent))
		Expect(s.(*settings.Agent).HeartbeatInterval).To(Equal(500 * time.Millisecond))
	})

	It("reports all problems at once, so that the operator can fix them in one attempt", func() {
		text := strings.Replace(validSettings, "10.0.0.1:1", "host:1", 1)
		text = strings.Replace(text, "name = vm-1\n", "", 1) + "drain-time = ten\nshards = 3\n[other]\n"
		_, s, err := settings.Parse("a.ini", []byte(text))
		Expect(s).To(BeNil())
		var problems settings.Problems
		Expect(errors.As(err, &problems)).To(BeTrue())
		lineOfKey := map[string]int{}
		for _, e := range problems {
			lineOfKey[e.Key] = e.Line
		}
		Expect(lineOfKey).To(Equal(map[string]int{"name": 1, "peer-address": 4, "drain-time": 9, "shards": 10, "": 11}))
	})

	for name, c := range map[string]struct {
		addedLines, wantedText string
		wantedLine             int
	}{
		"unknown key":                          {"colour = red\n", "colour: key is unknown", 10},
		"key of the other role":                {"shards = 8\n", "shards: key is unknown", 10},
		"unknown section":                      {"[limits]\n", "section [limits] is unknown", 10},
		"second role":                          {"[entry]\n", "section [entry] sets a second role", 10},
		"repeated section":                     {"[agent]\n", "already on line 1", 10},
		"repeated key":                         {"name = vm-2\n", "name: key is already on line 2", 10},
		"text as a number":                     {"max-header-bytes = many\n", "allowed: a whole number", 10},
		"duration without unit":                {"drain-time = 10\n", "allowed: a duration with a unit", 10},
		"number out of range":                  {"max-header-bytes = 0\n", "allowed: 1024 to 1048576", 10},
		"heartbeat interval that is too short": {"heartbeat-interval = 1ms\n", "allowed: 50ms to 1s", 10},
		"heartbeat interval that is too long":  {"heartbeat-interval = 3s\n", "allowed: 50ms to 1s", 10},
		"unknown log level":                    {"log-level = loud\n", "one of debug, info, warn, error", 10},
		"host name in a list of addresses":     {"entries = 10.0.0.1:1, host:2\n", "names are not resolved", 10},
		"line without value":                   {"rack\n", "is not of the form key = value", 10},
		"empty value":                          {"rack =\n", "rack: key has no value", 10},
		"multi-line value":                     {"rack = \"\"\"a\n", "plain values on one line", 10},
		"unclosed section":                     {"[agent\n", "is malformed", 10},
	} {
		It("rejects a file with "+name, func() {
			_, _, err := settings.Parse("a.ini", []byte(validSettings+c.addedLines))
			Expect(err).To(MatchError(ContainSubstring(c.wantedText)))
			var problems settings.Problems
			Expect(errors.As(err, &problems)).To(BeTrue())
			Expect(problems[0].Line).To(Equal(c.wantedLine))
			Expect(problems[0].File).To(Equal("a.ini"))
		})
	}

	for name, address := range map[string]string{
		"a host name": "vm-1:80", "no port": "10.0.0.1", "port 0": "10.0.0.1:0", "an unspecified address": "0.0.0.0:80",
	} {
		It("rejects a peer address with "+name, func() {
			_, _, err := settings.Parse("a.ini", []byte(strings.Replace(validSettings, "10.0.0.1:1", address, 1)))
			Expect(err).To(MatchError(And(ContainSubstring("a.ini:5: peer-address"), ContainSubstring("such as 10.0.0.1:7000"))))
		})
	}
})

// FuzzParse guards against panics, against errors without problems, and against problems whose line number is outside the file or
// whose field Allowed is empty.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte("[entry]\nname = `a\ndrain-time = -1s\n=\n[x"))
	f.Add([]byte("\ufeff[agent]\r\nentries = ,,\r\n- = %(name)s\n"))
	f.Fuzz(func(t *testing.T, content []byte) {
		_, s, err := settings.Parse("f", content)
		if (s == nil) != (err != nil) {
			t.Fatalf("settings %v with error %v", s, err)
		}
		var problems settings.Problems
		if err != nil && (!errors.As(err, &problems) || len(problems) == 0) {
			t.Fatalf("error without problems: %v", err)
		}
		for _, e := range problems {
			if e.Line < 1 || e.Line > strings.Count(string(content), "\n")+1 || e.Allowed == "" {
				t.Fatalf("problem %+v has a line number outside the file or does not say what is allowed", e)
			}
		}
	})
}
