package operator

import (
	"fmt"
	"html/template"
)

// Sizes of the chart in SVG user units.
const (
	barWidth   = 420
	barHeight  = 18
	rowHeight  = 30
	labelWidth = 140
	textWidth  = 220
)

// chart is a bar chart of the running requests and the slots of each data centre.
type chart struct {
	Width, Height int
	Bars          []bar
}

// bar is the bar of one data centre with its labels.
type bar struct {
	Name    string
	Text    string
	Drained bool
	// X and Y are the corner of the bar, TextY is the baseline of Name and Text,
	// and FigureX is the start of Text. Filled is the length of the part that
	// shows running requests.
	X, Y, TextY, FigureX, Width, Height, Filled int
	// Overloaded is set if every slot is in use and requests are queued.
	Overloaded bool
}

func newChart(dataCentres []DataCentreStatus) chart {
	c := chart{Width: labelWidth + barWidth + textWidth, Height: max(rowHeight*len(dataCentres), rowHeight)}
	for i, dc := range dataCentres {
		b := bar{
			Name: dc.Name, Drained: dc.Drained,
			X: labelWidth, Y: i*rowHeight + (rowHeight-barHeight)/2, Width: barWidth, Height: barHeight,
			FigureX:    labelWidth + barWidth + 10, // 10 units after the bar
			Overloaded: dc.Queued > 0 && dc.Running >= dc.Slots,
		}
		b.TextY = b.Y + barHeight - 4 // 4 units above the lower edge of the bar
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

// templateFuncs are the functions of the templates. ms formats milliseconds as
// seconds with three significant digits.
var templateFuncs = template.FuncMap{
	"newChangeID": newChangeID,
	"lines":       diffLines,
	"decide":      newDecision,
	"ms":          func(ms int64) string { return fmt.Sprintf("%.3g s", float64(ms)/1_000) },
}
