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

// plotSVG draws each quantity against the number of hosts, in a panel of its own.
func plotSVG(points []point) string {
	var hosts []point
	for _, p := range points {
		if p.Sweep == "hosts" {
			hosts = append(hosts, p)
		}
	}
	all := quantities()
	var b strings.Builder
	fmt.Fprintf(&b, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="11">`+"\n",
		len(all)*(panelWidth+panelMargin)+panelMargin, panelHeight+2*panelMargin)
	b.WriteString(`<rect width="100%" height="100%" fill="white"/>` + "\n")
	for i, q := range all {
		drawPanel(&b, panelMargin+i*(panelWidth+panelMargin), q, hosts)
	}
	b.WriteString("</svg>\n")
	return b.String()
}

// drawPanel draws the panel of one quantity.
func drawPanel(b *strings.Builder, left int, q quantity, points []point) {
	maxX, maxY := 1.0, 0.001
	for _, p := range points {
		maxX = max(maxX, dimension(p))
		maxY = max(maxY, q.value(p))
	}
	bottom := panelMargin + panelHeight
	fmt.Fprintf(b, `<text x="%d" y="%d">%s (%s)</text>`+"\n", left, panelMargin-12, q.name, q.unit)
	fmt.Fprintf(b, `<path d="M%d %dV%dH%d" fill="none" stroke="black"/>`+"\n", left, panelMargin, bottom, left+panelWidth)
	fmt.Fprintf(b, `<text x="%d" y="%d">%.3g</text><text x="%d" y="%d">%.0f hosts</text>`+"\n", left+4, panelMargin+10, maxY, left+panelWidth-50, bottom+14, maxX)
	var line strings.Builder
	for _, p := range points {
		x := float64(left) + dimension(p)/maxX*panelWidth
		y := float64(bottom) - q.value(p)/maxY*panelHeight
		fmt.Fprintf(&line, "%.1f,%.1f ", x, y)
		fmt.Fprintf(b, `<circle cx="%.1f" cy="%.1f" r="3"/>`+"\n", x, y)
	}
	fmt.Fprintf(b, `<polyline points="%s" fill="none" stroke="steelblue"/>`+"\n", line.String())
}
