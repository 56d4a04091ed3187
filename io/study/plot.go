package study

import (
	"fmt"
	"html"
	"io"
	"strings"

	"primrosegw/core/fault"
)

// The layout of a plot, in pixels.
const (
	plotWidth  = 720
	plotHeight = 320
	plotLeft   = 50
	plotTop    = 20
	plotRight  = 170
	plotBottom = 40
	tickLength = 4
	lineHeight = 18
)

// colours of the policies, which can be told apart without seeing red and green.
func colours() []string {
	return []string{"#0072b2", "#e69f00", "#009e73", "#cc79a7", "#56b4e9", "#d55e00"}
}

// Plot writes the share of worth earned by second, one line for each policy, as SVG.
func (report Report) Plot(out io.Writer) error {
	var text strings.Builder
	fmt.Fprintf(&text, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="12">`+"\n", plotWidth, plotHeight)
	fmt.Fprintf(&text, `<title>%s: worth earned by second, mean of %d seeds</title>`+"\n", html.EscapeString(report.Day), report.Seeds)
	text.WriteString(`<rect width="100%" height="100%" fill="white"/>` + "\n")
	report.axes(&text)
	for index, policy := range report.Policies {
		colour := colours()[index%len(colours())]
		points := make([]string, len(policy.BySecond))
		for second, worth := range policy.BySecond {
			points[second] = fmt.Sprintf("%.1f,%.1f", plotX(second, len(policy.BySecond)), plotY(worth))
		}
		fmt.Fprintf(&text, `<polyline fill="none" stroke="%s" stroke-width="1.5" points="%s"/>`+"\n", colour, strings.Join(points, " "))
		fmt.Fprintf(&text, `<text x="%d" y="%d" fill="%s">%s %.3f</text>`+"\n", plotWidth-plotRight+10,
			plotTop+lineHeight*(index+1), colour, html.EscapeString(string(policy.Policy)), policy.Worth.Value)
	}
	text.WriteString("</svg>\n")
	if _, err := io.WriteString(out, text.String()); err != nil {
		return fault.Wrap("study.plot", Unreadable, err)
	}
	return nil
}

// axes draws the axes with their labels.
func (report Report) axes(text *strings.Builder) {
	bottom, right := plotHeight-plotBottom, plotWidth-plotRight
	fmt.Fprintf(text, `<path d="M%d %dV%dH%d" fill="none" stroke="black"/>`+"\n", plotLeft, plotTop, bottom, right)
	for _, worth := range []float64{0, 0.25, 0.5, 0.75, 1} {
		fmt.Fprintf(text, `<path d="M%d %.1fh%d" stroke="black"/><text x="%d" y="%.1f" text-anchor="end">%.2f</text>`+"\n",
			plotLeft-tickLength, plotY(worth), tickLength, plotLeft-2*tickLength, plotY(worth)+tickLength, worth)
	}
	if len(report.Policies) == 0 {
		return
	}
	count := len(report.Policies[0].BySecond)
	for second := 0; second < count; second += 5 {
		fmt.Fprintf(text, `<path d="M%.1f %dv%d" stroke="black"/><text x="%.1f" y="%d" text-anchor="middle">%d s</text>`+"\n",
			plotX(second, count), bottom, tickLength, plotX(second, count), bottom+lineHeight, second)
	}
}

func plotX(second, count int) float64 {
	return plotLeft + float64(plotWidth-plotLeft-plotRight)*float64(second)/float64(max(1, count-1))
}

func plotY(worth float64) float64 {
	return plotTop + float64(plotHeight-plotTop-plotBottom)*(1-worth)
}
