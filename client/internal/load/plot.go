package load

import (
	"bytes"
	"fmt"
	"math"
	"os"
	"slices"
)

// Size of a plot in pixels.
const (
	plotWidth  = 720
	plotHeight = 420
	margin     = 56
	// topRatio is the highest ratio of the scale.
	topRatio = 100.0
	// nines is the highest quantile of the scale: 1 - 10^-nines.
	nines = 4.0
	steps = 200
)

// curve is one line of a plot: ratios in ascending order.
type curve struct {
	name   string
	colour string
	ratios []float64
}

// curves returns the distributions of all requests, of calls and of jobs.
func curves(p *Profile, samples []*Sample) []curve {
	all := curve{name: "all requests", colour: "#222"}
	calls := curve{name: "calls", colour: "#1b6ca8"}
	jobs := curve{name: "jobs", colour: "#b8441f"}
	for _, s := range samples {
		if s.state != Complete {
			continue
		}
		ratio := s.Response.Seconds() / s.Request.Ideal(p)
		all.ratios = append(all.ratios, ratio)
		if s.Request.Stream.Form == FormCall {
			calls.ratios = append(calls.ratios, ratio)
		} else {
			jobs.ratios = append(jobs.ratios, ratio)
		}
	}
	list := []curve{all, calls, jobs}
	for _, c := range list {
		slices.Sort(c.ratios)
	}
	return list
}

// writePlot writes an SVG with the quantiles on a scale of nines and the
// response time over ideal on a logarithmic one.
func writePlot(file, title string, list []curve) error {
	var b bytes.Buffer
	fmt.Fprintf(&b, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="12">`+"\n", plotWidth, plotHeight)
	fmt.Fprintf(&b, `<rect width="100%%" height="100%%" fill="white"/><text x="%d" y="20">%s: response time over ideal by quantile</text>`+"\n", margin, title)
	drawAxes(&b)
	for i, c := range list {
		drawCurve(&b, c, i)
	}
	b.WriteString("</svg>\n")
	return os.WriteFile(file, b.Bytes(), 0o644)
}

// x returns the place of a quantile given as its distance from 1.
func x(rest float64) float64 {
	return margin + -math.Log10(rest)/nines*(plotWidth-2*margin)
}

func y(ratio float64) float64 {
	bounded := min(max(ratio, 1), topRatio)
	return plotHeight - margin - math.Log10(bounded)/math.Log10(topRatio)*(plotHeight-2*margin)
}

func drawAxes(b *bytes.Buffer) {
	for _, q := range []float64{0.5, 0.9, 0.99, 0.999, 0.9999} {
		at := x(1 - q)
		fmt.Fprintf(b, `<line x1="%.1f" y1="%d" x2="%.1f" y2="%d" stroke="#ddd"/><text x="%.1f" y="%d" text-anchor="middle">%g%%</text>`+"\n",
			at, margin, at, plotHeight-margin, at, plotHeight-margin+18, q*100)
	}
	for _, ratio := range []float64{1, 1.5, 2, 3, 5, 10, 20, 50, 100} {
		at := y(ratio)
		fmt.Fprintf(b, `<line x1="%d" y1="%.1f" x2="%d" y2="%.1f" stroke="#ddd"/><text x="%d" y="%.1f" text-anchor="end">%g</text>`+"\n",
			margin, at, plotWidth-margin, at, margin-6, at+4, ratio)
	}
}

func drawCurve(b *bytes.Buffer, c curve, number int) {
	if len(c.ratios) == 0 {
		return
	}
	fmt.Fprintf(b, `<polyline fill="none" stroke="%s" stroke-width="2" points="`, c.colour)
	for i := range steps + 1 {
		rest := math.Pow(10, -nines*float64(i)/steps)
		index := min(int((1-rest)*float64(len(c.ratios))), len(c.ratios)-1)
		fmt.Fprintf(b, "%.1f,%.1f ", x(rest), y(c.ratios[index]))
	}
	fmt.Fprintf(b, `"/><text x="%d" y="%d" fill="%s">%s</text>`+"\n", margin+8, margin+16*(number+1), c.colour, c.name)
}
