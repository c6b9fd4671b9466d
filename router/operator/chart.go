package operator

import (
	"fmt"
	"html/template"
)

// Sizes of the chart in SVG units.
const (
	barWidth    = 420
	barHeight   = 18
	rowHeight   = 30
	labelWidth  = 140
	figureWidth = 220
)

// chart is a bar chart of running requests over slots for each data centre.
type chart struct {
	Width, Height int
	Bars          []bar
}

type bar struct {
	Name    string
	Text    string
	Drained bool
	// X, Y, Label and Figure are coordinates; Filled is the bar's length.
	X, Y, TextY, FigureX, Width, Height, Filled int
	// Overloaded is set if requests wait although every slot is in use.
	Overloaded bool
}

func newChart(centres []DataCentreStatus) chart {
	c := chart{Width: labelWidth + barWidth + figureWidth, Height: max(rowHeight*len(centres), rowHeight)}
	for i, dc := range centres {
		b := bar{
			Name: dc.Name, Drained: dc.Drained,
			X: labelWidth, Y: i*rowHeight + (rowHeight-barHeight)/2, Width: barWidth, Height: barHeight,
			FigureX:    labelWidth + barWidth + 10,
			Overloaded: dc.Queued > 0 && dc.Running >= dc.Slots,
		}
		b.TextY = b.Y + barHeight - 4
		if dc.Slots > 0 {
			b.Filled = barWidth * min(max(dc.Running, 0), dc.Slots) / dc.Slots
		}
		b.Text = fmt.Sprintf("%d of %d slots, %.0f requests/s", dc.Running, dc.Slots, dc.Rate)
		if dc.Drained {
			b.Text += ", drained"
		}
		c.Bars = append(c.Bars, b)
	}
	return c
}

var templateFuncs = template.FuncMap{
	"newChangeID": newChangeID,
	"lines":       diffLines,
	"decide":      newDecision,
	"ms":          func(ms int64) string { return fmt.Sprintf("%.3g s", float64(ms)/1_000) },
}
