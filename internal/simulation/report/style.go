package report

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"regexp"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	// Registers the format "svg", which render uses.
	_ "gonum.org/v1/plot/vg/vgsvg"
)

const (
	plotWidth  = 14 * vg.Centimeter
	plotHeight = 7 * vg.Centimeter
	// lineWidth, dashLength and gapLength are in points.
	lineWidth  = 1.2
	dashLength = 3
	gapLength  = 2
)

// policyColours are the colours of the policies, in their order. They can be distinguished with a colour vision
// deficiency (Okabe and Ito 2008) and on light and dark backgrounds.
var policyColours = []color.NRGBA{
	rgb(
		0x0072b2,
	), rgb(0xe69f00), rgb(0x009e73), rgb(0xd55e00), rgb(0xcc79a7), rgb(0x56b4e9), rgb(0x999999), rgb(0xa0a020),
}

// axisColour is the colour of axes and labels: a grey that is legible on light and dark backgrounds.
var axisColour = rgb(0x808890)

func rgb(x uint32) color.NRGBA {
	return color.NRGBA{R: uint8(x >> 16), G: uint8(x >> 8), B: uint8(x), A: 255}
}

func policyColour(i int) color.NRGBA { return policyColours[i%len(policyColours)] }

// cssColour returns the colour of the policy with index i in the notation of CSS.
func cssColour(i int) string {
	c := policyColour(i)
	return fmt.Sprintf("#%02x%02x%02x", c.R, c.G, c.B)
}

func init() { plot.DefaultFont.Variant = "Sans" }

func newPlot(xLabel, yLabel string) *plot.Plot {
	p := plot.New()
	p.BackgroundColor = color.Transparent
	for _, a := range []*plot.Axis{&p.X, &p.Y} {
		a.Color, a.Label.TextStyle.Color = axisColour, axisColour
		a.Tick.Color, a.Tick.Label.Color = axisColour, axisColour
	}
	p.X.Label.Text, p.Y.Label.Text = xLabel, yLabel
	return p
}

// addLine adds the curve of a policy, dashed if its colour is already that of an earlier policy. The legend is part of
// the page, not of the plot.
func addLine(p *plot.Plot, policyIndex int, points plotter.XYs) error {
	if len(points) == 0 {
		return nil
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return err
	}
	line.Color, line.Width = policyColour(policyIndex), vg.Points(lineWidth)
	if policyIndex >= len(policyColours) {
		line.Dashes = []vg.Length{vg.Points(dashLength), vg.Points(gapLength)}
	}
	p.Add(line)
	return nil
}

// prolog matches the part of an SVG file up to the name of its root element.
var prolog = regexp.MustCompile(`(?s)^.*?<svg`)

// render returns a plot as an SVG element without the prolog of an SVG file, so that it can stand in HTML.
func render(title string, p *plot.Plot) (svgPlot, error) {
	w, err := p.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return svgPlot{}, fmt.Errorf("%s: %w", title, err)
	}
	var b bytes.Buffer
	if _, err := w.WriteTo(&b); err != nil {
		return svgPlot{}, err
	}
	// The SVG is safe to embed: the library generated it from numbers and from names that were validated when the
	// experiment was loaded, so that it contains no script.
	return svgPlot{title, template.HTML(prolog.ReplaceAllString(b.String(), "<svg"))}, nil
}
