package loadgen

import (
	"fmt"
	"io"
	"math"
	"strings"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The plot has two panels, one above the other; sizes are in pixels.
const (
	plotWidth   = 760
	panelHeight = 260
	marginLeft  = 70
	marginTop   = 40
	panelGap    = 70
	plotHeight  = 2*panelHeight + marginTop + panelGap + 50
)

// The upper panel plots times from minMS to maxMS on a logarithmic scale against quantiles
// from 0 to 1-10^-maxNines.
const (
	minMS    = 1
	maxMS    = 100_000
	maxNines = 4
)

// WriteSVG draws the quantiles of token gaps, largest gaps and times to first token, and
// the tokens of each second. The drawing refers to no other file.
func (r *Report) WriteSVG(w io.Writer) error {
	var svg strings.Builder
	fmt.Fprintf(&svg, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="12">`+"\n",
		plotWidth+marginLeft+20, plotHeight)
	svg.WriteString(`<rect width="100%" height="100%" fill="white"/>` + "\n")
	r.drawQuantiles(&svg, marginTop)
	r.drawSeconds(&svg, marginTop+panelHeight+panelGap)
	svg.WriteString("</svg>\n")
	if _, err := io.WriteString(w, svg.String()); err != nil {
		return fmt.Errorf("write plot: %w", err)
	}
	return nil
}

// drawQuantiles draws the upper panel.
func (r *Report) drawQuantiles(svg *strings.Builder, top int) {
	drawPanel(svg, top, "milliseconds by quantile")
	for ms := 1; ms <= maxMS; ms *= 10 {
		drawYTick(svg, top, logFraction(float64(ms)), fmt.Sprint(ms))
	}
	for nines, label := range []string{"0", "p90", "p99", "p99.9", "p99.99"} {
		drawXTick(svg, top, float64(nines)/maxNines, label)
	}
	bound := logFraction(milliseconds(float64(gapBound.Microseconds())))
	drawCurves(svg, top, []curve{
		{"bound", "#999999", [][2]float64{{0, bound}, {1, bound}}},
		{"token gap", "#1f77b4", quantileCurve(r.total.gaps)},
		{"largest gap per stream", "#d62728", quantileCurve(r.total.largest)},
		{"first token", "#2ca02c", quantileCurve(r.total.firstToken)},
	})
}

// drawSeconds draws the lower panel, scaled to the second with the most tokens.
func (r *Report) drawSeconds(svg *strings.Builder, top int) {
	most := 1
	for _, second := range r.Seconds {
		most = max(most, second.Tokens)
	}
	var tokens, worst [][2]float64
	for i, second := range r.Seconds {
		x := float64(i) / float64(max(1, len(r.Seconds)-1))
		tokens = append(tokens, [2]float64{x, float64(second.Tokens) / float64(most)})
		worst = append(worst, [2]float64{x, logFraction(second.WorstGapMS)})
	}
	drawPanel(svg, top, "tokens of each second, and its worst token gap on the scale above")
	drawYTick(svg, top, 0, "0")
	drawYTick(svg, top, 1, fmt.Sprint(most))
	drawXTick(svg, top, 0, "0 s")
	drawXTick(svg, top, 1, fmt.Sprintf("%d s", len(r.Seconds)))
	drawCurves(svg, top, []curve{{"tokens", "#1f77b4", tokens}, {"worst gap", "#d62728", worst}})
}

// quantileCurve returns the curve of a histogram of microseconds, or nil if it is empty.
func quantileCurve(h *hdrhistogram.Histogram) [][2]float64 {
	if h.TotalCount() == 0 {
		return nil
	}
	const steps = 120
	var points [][2]float64
	for i := 0; i <= steps; i++ {
		fraction := float64(i) / steps
		quantile := 100 * (1 - math.Pow(10, -fraction*maxNines))
		ms := milliseconds(float64(h.ValueAtQuantile(quantile)))
		points = append(points, [2]float64{fraction, logFraction(ms)})
	}
	return points
}

// logFraction returns the position of a time between minMS and maxMS on the logarithmic
// scale, from 0 to 1.
func logFraction(ms float64) float64 {
	fraction := math.Log10(max(ms, minMS)/minMS) / math.Log10(maxMS/minMS)
	return min(fraction, 1)
}

func drawPanel(svg *strings.Builder, top int, title string) {
	fmt.Fprintf(svg, `<text x="%d" y="%d">%s</text>`+"\n", marginLeft, top-10, title)
	fmt.Fprintf(svg, `<rect x="%d" y="%d" width="%d" height="%d" fill="none" stroke="black"/>`+"\n",
		marginLeft, top, plotWidth, panelHeight)
}

func drawYTick(svg *strings.Builder, top int, fraction float64, label string) {
	y := float64(top) + panelHeight*(1-fraction)
	fmt.Fprintf(svg, `<line x1="%d" x2="%d" y1="%.1f" y2="%.1f" stroke="#dddddd"/>`+"\n", marginLeft, marginLeft+plotWidth, y, y)
	fmt.Fprintf(svg, `<text x="%d" y="%.1f" text-anchor="end">%s</text>`+"\n", marginLeft-6, y+4, label)
}

func drawXTick(svg *strings.Builder, top int, fraction float64, label string) {
	x := marginLeft + plotWidth*fraction
	fmt.Fprintf(svg, `<text x="%.1f" y="%d" text-anchor="middle">%s</text>`+"\n", x, top+panelHeight+16, label)
}

// drawCurves draws the curves and a legend with their names.
func drawCurves(svg *strings.Builder, top int, curves []curve) {
	for i, c := range curves {
		var points strings.Builder
		for _, p := range c.points {
			fmt.Fprintf(&points, "%.1f,%.1f ", marginLeft+plotWidth*p[0], float64(top)+panelHeight*(1-p[1]))
		}
		fmt.Fprintf(svg, `<polyline points="%s" fill="none" stroke="%s" stroke-width="1.5"/>`+"\n", points.String(), c.colour)
		fmt.Fprintf(svg, `<text x="%d" y="%d" fill="%s">%s</text>`+"\n", marginLeft+10, top+18+16*i, c.colour, c.name)
	}
}
