package configurator_test

import (
	"fmt"

	"bamboohook/configurator"
)

func Example() {
	c := configurator.New(configurator.Options{})
	sections := configurator.Sections{"service.preview": {"urgency": "urgent", "share": "60%"}}
	for _, author := range []string{"ana", "ben"} {
		v := c.Apply(c.State().Offset+1, configurator.Change{ID: "by-" + author, BaseRevision: 0, Author: author, Set: sections})[0]
		fmt.Printf("%s: %s, based on %d, now %d\n", v.ChangeID, v.Outcome, v.BaseRevision, v.Revision)
	}
	// Output:
	// by-ana: accepted, based on 0, now 1
	// by-ben: refused, based on 0, now 1
}
