package load

import (
	"bytes"
	"fmt"
	"math"
	"os"
	"slices"
)

// Dimensions of a plot, in pixels where not stated otherwise.
const (
	plotWidth  = 720
	plotHeight = 420
	plotMargin = 56
	// maxPlotRatio is the highest ratio on the vertical axis.
	maxPlotRatio = 100.0
	// maxNines sets the highest quantile on the horizontal axis: 1 - 10^-maxNines.
	maxNines   = 4.0
	curveSteps = 200
)

// curve is one line of a plot; its ratios are in ascending order.
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
		ratio := s.Response.Seconds() / s.Request.IdealSeconds(p)
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

// writePlot writes an SVG of the response time over ideal by quantile. Both axes are
// logarithmic, the horizontal one in the distance of the quantile from 1.
func writePlot(file, title string, list []curve) error {
	var b bytes.Buffer
	fmt.Fprintf(&b, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="12">`+"\n", plotWidth, plotHeight)
	fmt.Fprintf(&b, `<rect width="100%%" height="100%%" fill="white"/><text x="%d" y="20">%s: response time over ideal by quantile</text>`+"\n", plotMargin, title)
	drawAxes(&b)
	for i, c := range list {
		drawCurve(&b, c, i)
	}
	b.WriteString("</svg>\n")
	return os.WriteFile(file, b.Bytes(), 0o644)
}

// quantileX returns the horizontal position of the quantile 1 - tail.
func quantileX(tail float64) float64 {
	return plotMargin + -math.Log10(tail)/maxNines*(plotWidth-2*plotMargin)
}

func ratioY(ratio float64) float64 {
	clamped := min(max(ratio, 1), maxPlotRatio)
	return plotHeight - plotMargin - math.Log10(clamped)/math.Log10(maxPlotRatio)*(plotHeight-2*plotMargin)
}

func drawAxes(b *bytes.Buffer) {
	for _, q := range []float64{0.5, 0.9, 0.99, 0.999, 0.9999} {
		tickX := quantileX(1 - q)
		fmt.Fprintf(b, `<line x1="%.1f" y1="%d" x2="%.1f" y2="%d" stroke="#ddd"/><text x="%.1f" y="%d" text-anchor="middle">%g%%</text>`+"\n",
			tickX, plotMargin, tickX, plotHeight-plotMargin, tickX, plotHeight-plotMargin+18, q*100)
	}
	for _, ratio := range []float64{1, 1.5, 2, 3, 5, 10, 20, 50, 100} {
		tickY := ratioY(ratio)
		fmt.Fprintf(b, `<line x1="%d" y1="%.1f" x2="%d" y2="%.1f" stroke="#ddd"/><text x="%d" y="%.1f" text-anchor="end">%g</text>`+"\n",
			plotMargin, tickY, plotWidth-plotMargin, tickY, plotMargin-6, tickY+4, ratio)
	}
}

func drawCurve(b *bytes.Buffer, c curve, position int) {
	if len(c.ratios) == 0 {
		return
	}
	fmt.Fprintf(b, `<polyline fill="none" stroke="%s" stroke-width="2" points="`, c.colour)
	for i := range curveSteps + 1 {
		tail := math.Pow(10, -maxNines*float64(i)/curveSteps)
		index := min(int((1-tail)*float64(len(c.ratios))), len(c.ratios)-1)
		fmt.Fprintf(b, "%.1f,%.1f ", quantileX(tail), ratioY(c.ratios[index]))
	}
	fmt.Fprintf(b, `"/><text x="%d" y="%d" fill="%s">%s</text>`+"\n", plotMargin+8, plotMargin+16*(position+1), c.colour, c.name)
}
