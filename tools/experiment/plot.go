package main

import (
	"bytes"
	"fmt"
	"math"
	"os"
)

const (
	plotBarHeight  = 14  // pixels
	plotLabelWidth = 320 // width of the labels in pixels
	plotDecade     = 90  // pixels for each factor of ten in time
	plotWidth      = plotLabelWidth + 7*plotDecade
)

// writePlot draws the 99th percentile of each request's largest gap as bars on a
// logarithmic scale from 1 ms.
func writePlot(path string, results []result) error {
	if path == "" {
		return nil
	}
	var b bytes.Buffer
	height := (len(results) + 2) * plotBarHeight
	fmt.Fprintf(&b, "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" height=\"%d\" font-family=\"sans-serif\" font-size=\"10\">\n", plotWidth, height)
	fmt.Fprintf(&b, "<text x=\"4\" y=\"11\">largest token gap of a request, 99th percentile, ms (logarithmic)</text>\n")
	for i, r := range results {
		y := (i + 1) * plotBarHeight
		width := math.Log10(max(r.WorstGapP99MS, 1)) * plotDecade
		color := "#888888"
		if r.Policy == "siskintide" {
			color = "#1f6fb2"
		}
		fmt.Fprintf(&b, "<text x=\"4\" y=\"%d\">%s %d%% %s</text>", y+11, r.Mix, r.LoadPercent, r.Policy)
		fmt.Fprintf(&b, "<rect x=\"%d\" y=\"%d\" width=\"%.1f\" height=\"%d\" fill=\"%s\"/>", plotLabelWidth, y+2, width, plotBarHeight-3, color)
		fmt.Fprintf(&b, "<text x=\"%.1f\" y=\"%d\">%.0f</text>\n", plotLabelWidth+width+4, y+11, r.WorstGapP99MS)
	}
	fmt.Fprintln(&b, "</svg>")
	if err := os.WriteFile(path, b.Bytes(), fileMode); err != nil {
		return fmt.Errorf("write plot: %w", err)
	}
	return nil
}
