package main

import (
	"fmt"
	"strings"
)

const (
	panelWidth  = 300
	panelHeight = 200
	panelMargin = 50
)

// plot draws each measure against the number of hosts, as one panel each.
func plot(points []point) string {
	var hosts []point
	for _, p := range points {
		if p.Sweep == "hosts" {
			hosts = append(hosts, p)
		}
	}
	kinds := measures()
	var b strings.Builder
	fmt.Fprintf(&b, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="11">`+"\n",
		len(kinds)*(panelWidth+panelMargin)+panelMargin, panelHeight+2*panelMargin)
	b.WriteString(`<rect width="100%" height="100%" fill="white"/>` + "\n")
	for i, kind := range kinds {
		drawPanel(&b, panelMargin+i*(panelWidth+panelMargin), kind, hosts)
	}
	b.WriteString("</svg>\n")
	return b.String()
}

// drawPanel draws one measure.
func drawPanel(b *strings.Builder, left int, kind measureKind, points []point) {
	maxX, maxY := 1.0, 0.001
	for _, p := range points {
		maxX = max(maxX, dimension(p))
		maxY = max(maxY, kind.value(p))
	}
	bottom := panelMargin + panelHeight
	fmt.Fprintf(b, `<text x="%d" y="%d">%s (%s)</text>`+"\n", left, panelMargin-12, kind.name, kind.unit)
	fmt.Fprintf(b, `<path d="M%d %dV%dH%d" fill="none" stroke="black"/>`+"\n", left, panelMargin, bottom, left+panelWidth)
	fmt.Fprintf(b, `<text x="%d" y="%d">%.3g</text><text x="%d" y="%d">%.0f hosts</text>`+"\n", left+4, panelMargin+10, maxY, left+panelWidth-50, bottom+14, maxX)
	var line strings.Builder
	for _, p := range points {
		x := float64(left) + dimension(p)/maxX*panelWidth
		y := float64(bottom) - kind.value(p)/maxY*panelHeight
		fmt.Fprintf(&line, "%.1f,%.1f ", x, y)
		fmt.Fprintf(b, `<circle cx="%.1f" cy="%.1f" r="3"/>`+"\n", x, y)
	}
	fmt.Fprintf(b, `<polyline points="%s" fill="none" stroke="steelblue"/>`+"\n", line.String())
}
