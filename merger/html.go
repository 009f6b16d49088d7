package merger

import (
	"fmt"
	"hash/fnv"
	"html/template"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

// Layout of the page. All lengths are in pixels.
const (
	leftMargin = 180
	topMargin  = 40
	laneHeight = 36
	minWidth   = 800
	// columnWidth is the distance between consecutive events. Each event has its own column, so that events within the
	// same microsecond do not overlap.
	columnWidth = 14
	// eventsPerTick is the number of events from one time label of the page to the next.
	eventsPerTick = 10
)

var pageTemplate = template.Must(template.New("page").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8">
<meta http-equiv="Content-Security-Policy" content="default-src 'none'; style-src 'unsafe-inline'">
<title>Time line</title><style>
body{font:13px sans-serif;margin:1em;color:#222}
.picture{overflow-x:auto;border:1px solid #ccc}
text{font:11px sans-serif}
.lane{stroke:#bbb}
.tick{stroke:#eee}
circle{stroke:#fff}
circle:hover{stroke:#000;stroke-width:2}
table{border-collapse:collapse;margin-top:1em}
td,th{border:1px solid #ddd;padding:2px 6px;text-align:left;vertical-align:top}
</style></head><body>
<h1>Time line</h1>
<p>{{len .Marks}} events of {{len .Lanes}} processes in causal order from left to right; distances don't show time. Point at an event for its details.</p>
{{range .Notes}}<p>{{.}}</p>{{end}}
<div class="picture"><svg xmlns="http://www.w3.org/2000/svg" width="{{.Width}}" height="{{.Height}}" role="img">
{{range .Ticks}}<line class="tick" x1="{{.X}}" x2="{{.X}}" y1="24" y2="{{$.Height}}"/><text x="{{.X}}" y="16">{{.Text}}</text>
{{end}}{{range .Lanes}}<text x="8" y="{{.Y}}" dy="4">{{.Text}}</text><line class="lane" x1="{{$.Left}}" x2="{{$.Width}}" y1="{{.Y}}" y2="{{.Y}}"/>
{{end}}{{range .Marks}}<circle cx="{{.X}}" cy="{{.Y}}" r="6" fill="hsl({{.Hue}},60%,45%)"><title>{{.Tooltip}}</title></circle>
{{end}}</svg></div>
<table><tr><th>time</th><th>process</th><th>event</th><th>subject</th><th>details</th></tr>
{{range .Marks}}<tr><td>{{.Time}}</td><td>{{.Process}} #{{.Sequence}}</td><td>{{.Kind}}</td><td>{{.Subject}}</td><td>{{.DetailsText}}</td></tr>
{{end}}</table></body></html>
`))

type (
	// pageData is the input of pageTemplate. All positions and sizes are in pixels.
	pageData struct {
		Width, Height, Left int
		Lanes, Ticks        []label
		Marks               []mark
		Notes               []string
	}

	// label is a text at a position on the page.
	label struct {
		X, Y int
		Text string
	}

	// mark is the circle and the table row that represent an event. Hue is the colour of the circle, Tooltip the text
	// that a browser shows for it, and DetailsText the text of the event's Details.
	mark struct {
		Event
		X, Y, Hue                  int
		Time, Tooltip, DetailsText string
	}
)

// WriteHTML writes the timeline as a self-contained HTML page with one lane for each process. The page has no scripts
// and refers to no other files. All text from events is escaped.
func (m *Merger) WriteHTML(w io.Writer) error {
	events := m.Events()
	lanes := map[string]int{}
	for _, e := range events {
		lanes[e.Process] = 0
	}
	p := pageData{
		Left: leftMargin, Height: topMargin + laneHeight*(len(lanes)+1), Width: max(minWidth, leftMargin+columnWidth*(len(events)+2)),
	}
	for i, name := range slices.Sorted(maps.Keys(lanes)) {
		lanes[name] = topMargin + laneHeight*i + laneHeight/2
		p.Lanes = append(p.Lanes, label{Y: lanes[name], Text: name})
	}
	for i, e := range events {
		x := leftMargin + columnWidth*(i+1)
		p.Marks = append(p.Marks, newMark(e, x, lanes[e.Process]))
		if i%eventsPerTick == 0 {
			p.Ticks = append(p.Ticks, label{X: x, Text: "+" + time.Duration(e.Nanoseconds-events[0].Nanoseconds).String()})
		}
	}
	for _, g := range m.Gaps() {
		p.Notes = append(p.Notes, fmt.Sprintf("Missing: %s #%d to #%d", g.Process, g.First, g.Last))
	}
	if n := m.Dropped(); n > 0 {
		p.Notes = append(p.Notes, fmt.Sprintf("Dropped: %d events beyond the bound", n))
	}
	return pageTemplate.Execute(w, p)
}

// newMark returns the mark of an event whose circle has its centre at x and y.
func newMark(e Event, x, y int) mark {
	var details []string
	for _, k := range slices.Sorted(maps.Keys(e.Details)) {
		details = append(details, k+": "+e.Details[k])
	}
	timeText := formatTimestamp(e.Nanoseconds)
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(e.Kind))
	return mark{
		Event: e, X: x, Y: y, Hue: int(hash.Sum32() % 360), Time: timeText, DetailsText: strings.Join(details, ", "),
		Tooltip: strings.Join(append([]string{e.Kind + " " + e.Subject, e.Process + " at " + timeText}, details...), "\n"),
	}
}
