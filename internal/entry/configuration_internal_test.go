package entry

import (
	"testing"

	"bamboohook/configurator"
	"bamboohook/internal/message"
	"bamboohook/internal/replayer"
)

// Guards against a restarted entry that takes requests with the configuration of an old snapshot, in which something that was withdrawn since is still
// in use, because the log becomes unavailable before the entry has read it to the end.
func TestOldSnapshotDoesNotMakeReady(t *testing.T) {
	c := &configuration{configurator: configurator.New(configurator.Options{}), replayer: &replayer.Replayer{}, revision: 8}
	if c.ready() {
		t.Error("ready with a revision of which nobody knows whether it is current")
	}
	for name, p := range map[string]message.Presence{
		"an entry that has not read the stream to its end either": {Revision: 8},
		"an entry that has read another stream to its end":        {Revision: 8, CompleteStreams: []string{batchStreamPrefix + "r"}},
	} {
		if c.followEntry(p); c.ready() {
			t.Errorf("ready after a message from %s", name)
		}
	}
	if c.followEntry(message.Presence{Revision: 8, CompleteStreams: []string{configurationStream}}); !c.ready() {
		t.Error("not ready with the revision of an entry that has read the stream to its end")
	}
}
