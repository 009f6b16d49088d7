package routetable_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bamboohook/internal/fleet/routetable"
)

var _ = Describe("Configuration", func() {
	configuration := routetable.Configuration{Routes: []routetable.Route{
		{Queue: "short", Host: "a.example", Prefix: "/x/"},
		{Queue: "long", Host: "a.example", Prefix: "/x/y/"},
		{Queue: "other", Host: "b.example", Prefix: "/x/"},
	}}
	for name, c := range map[string]struct{ host, path, queue, rest string }{
		"a path with a matching prefix":     {"a.example", "/x/1", "short", "1"},
		"a path with two matching prefixes": {"a.example", "/x/y/1", "long", "1"},
		"another host with the same prefix": {"b.example", "/x/y/1", "other", "y/1"},
		"a host with a port":                {"a.example:80", "/x/", "short", ""},
		"a host in upper case":              {"A.Example", "/x/1", "short", "1"},
		"an unknown path":                   {"a.example", "/y/", "", ""},
		"an unknown host":                   {"c.example", "/x/1", "", ""},
	} {
		It("looks up the route for "+name, func() {
			r, rest, ok := configuration.Lookup(c.host, c.path)
			Expect(ok).To(Equal(c.queue != ""))
			Expect(r.Queue).To(Equal(c.queue))
			Expect(rest).To(Equal(c.rest))
		})
	}
})
