package timeline

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"time"
)

// Sizes of the drawing, in pixels.
const (
	labelWidth  = 170
	plotWidth   = 1000
	dotRadius   = 5
	levelHeight = 2*dotRadius + 3
	lanePadding = 8
	axisHeight  = 24
	// maxLevels bounds a lane's height; dots beyond it overlap.
	maxLevels = 8
	tickCount = 6
)

//go:embed page.html.tmpl
var pageSource string

var pageTemplate = template.Must(template.New("page").Parse(pageSource))

// page is the data of the template.
type page struct {
	Title             string
	Start             string
	Span              string
	Omitted           int
	Missing           []Missing
	Width, Height     int
	PlotLeft, PlotEnd int
	AxisY             int
	Ticks             []tick
	Lanes             []lane
	Rows              []row
}

type tick struct {
	X     int
	Label string
}

type lane struct {
	Process           string
	Odd               bool
	Y, Height, LabelY int
	Dots              []dot
}

type dot struct {
	X, Y  int
	Row   int
	Class string
	Title string
}

type row struct {
	Index                                                int
	Class                                                string
	Time, Offset, Process, Event, Subject, Peer, Details string
}

// WriteHTML writes a self-contained page with a lane for each process and a table
// of the events.
func (t *Timeline) WriteHTML(w io.Writer, title string) error {
	return pageTemplate.Execute(w, t.page(title))
}

func (t *Timeline) page(title string) page {
	p := page{
		Title:    title,
		Omitted:  t.Omitted,
		Missing:  t.Missing,
		Width:    labelWidth + plotWidth + 2*dotRadius + 40,
		PlotLeft: labelWidth,
		PlotEnd:  labelWidth + plotWidth,
	}
	scale := t.scale()
	p.Span = fmt.Sprintf("%d ms", scale.span.Milliseconds())
	if len(t.Events) > 0 {
		p.Start = t.Start().UTC().Format(time.RFC3339Nano)
	}
	p.Lanes, p.AxisY = t.lanes(scale)
	p.Height = p.AxisY + axisHeight
	p.Ticks = scale.ticks()
	for i, e := range t.Events {
		p.Rows = append(p.Rows, t.row(i, e))
	}
	return p
}

// scale maps times to horizontal positions.
type scale struct {
	start time.Time
	span  time.Duration
}

func (t *Timeline) scale() scale {
	s := scale{start: t.Start(), span: time.Millisecond}
	if n := len(t.Events); n > 0 {
		s.span = max(s.span, t.Events[n-1].Clock.Time().Sub(s.start))
	}
	return s
}

func (s scale) x(at time.Time) int {
	return labelWidth + dotRadius + int(float64(plotWidth)*float64(at.Sub(s.start))/float64(s.span))
}

func (s scale) ticks() []tick {
	list := make([]tick, tickCount)
	for i := range list {
		offset := s.span * time.Duration(i) / (tickCount - 1)
		list[i] = tick{X: s.x(s.start.Add(offset)), Label: fmt.Sprintf("+%d ms", offset.Milliseconds())}
	}
	return list
}

// lanes stacks one lane per process and returns their total height.
func (t *Timeline) lanes(s scale) ([]lane, int) {
	list := make([]lane, len(t.Processes))
	y := 0
	for i, process := range t.Processes {
		list[i] = t.lane(s, process, y)
		list[i].Odd = i%2 == 1
		y += list[i].Height
	}
	return list, y
}

// lane places the events of a process from left to right. An event that would
// cover its neighbour is placed one level down.
func (t *Timeline) lane(s scale, process string, y int) lane {
	l := lane{Process: process, Y: y}
	levels := 1
	var ends [maxLevels]int
	for i, e := range t.Events {
		if e.Process != process {
			continue
		}
		x := s.x(e.Clock.Time())
		level := freeLevel(ends[:], x)
		ends[level] = x + 2*dotRadius + 1
		levels = max(levels, level+1)
		top := y + lanePadding + dotRadius
		l.Dots = append(l.Dots, dot{X: x, Y: top + level*levelHeight, Row: i, Class: e.class(), Title: e.title()})
	}
	l.Height = levels*levelHeight + 2*lanePadding
	l.LabelY = y + l.Height/2 + 4
	return l
}

// freeLevel returns the first level whose last dot ends at or before x, or the
// last level if there is none.
func freeLevel(ends []int, x int) int {
	for i, end := range ends {
		if x >= end {
			return i
		}
	}
	return len(ends) - 1
}

func (t *Timeline) row(i int, e Event) row {
	return row{
		Index:   i,
		Class:   e.class(),
		Time:    e.Clock.Time().UTC().Format(timeLayout),
		Offset:  t.offset(e),
		Process: e.Process,
		Event:   e.Name,
		Subject: e.subject(),
		Peer:    e.Peer,
		Details: e.detail(),
	}
}

// class returns the CSS class: events are grouped by the hundreds of their
// numbers, as in the event catalogue.
func (e Event) class() string {
	switch {
	case e.Error != "":
		return "error"
	case e.ID < 200:
		return "process"
	case e.ID < 300:
		return "membership"
	case e.ID < 400:
		return "control"
	case e.ID < 500:
		return "entry"
	}
	return "agent"
}

func (e Event) title() string {
	text := fmt.Sprintf("%s %s %s %s", e.Clock.Time().UTC().Format(timeLayout), e.Process, e.Name, e.subject())
	if d := e.detail(); d != "" {
		text += ": " + d
	}
	return text
}
