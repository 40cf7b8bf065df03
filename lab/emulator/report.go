package emulator

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// PrintHead writes the head of the table of outcomes.
func PrintHead(out io.Writer) *tabwriter.Writer {
	const cellGap = 2
	table := tabwriter.NewWriter(out, 0, 0, cellGap, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "scenario\twithout\tworth\t±\tbound\tnines\twindows\tkind\twasted\theld\tjobs\tin time\tlate\trefused\tfailed\tbroken\t")
	return table
}

// PrintRow writes an outcome as a row of means over its seeds.
func (o *Outcome) PrintRow(table io.Writer) {
	var c Count
	var sum Summary
	n := float64(len(o.Plays))
	for i := range o.Plays {
		p := &o.Plays[i]
		c.Jobs, c.InTime, c.Late = c.Jobs+p.Jobs, c.InTime+p.InTime, c.Late+p.Late
		c.Refused, c.Failed = c.Refused+p.Refused, c.Failed+p.Failed
		sum.Bound, sum.Nines, sum.Worst = sum.Bound+p.Bound/n, sum.Nines+p.Nines/n, sum.Worst+p.Worst/n
		sum.WorstKind, sum.Wasted = sum.WorstKind+p.WorstKind/n, sum.Wasted+p.Wasted/n
		sum.Held += p.Held / n
	}
	share := func(part int) float64 { return float64(part) / float64(max(c.Jobs, 1)) }
	fmt.Fprintf(table, "%s\t%s\t%.3f\t%.3f\t%.3f\t%.2f\t%.2f\t%.2f\t%.3f\t%.4f\t%d\t%.4f\t%.4f\t%.4f\t%.4f\t%d\t\n",
		o.Scenario, o.lacks(), o.Worth, o.Spread, sum.Bound, sum.Nines, sum.Worst, sum.WorstKind, sum.Wasted, sum.Held,
		c.Jobs, share(c.InTime), share(c.Late), share(c.Refused), share(c.Failed), len(o.Broken()))
}

// lacks names the mechanisms that were switched off.
func (o *Outcome) lacks() string {
	if len(o.Without) == 0 {
		return "-"
	}
	var names []string
	for _, m := range o.Without {
		names = append(names, string(m))
	}
	return strings.Join(names, ",")
}

// PrintComparisons writes the differences between two policies, a row a scenario.
func PrintComparisons(out io.Writer, list []*Comparison) error {
	const cellGap = 2
	table := tabwriter.NewWriter(out, 0, 0, cellGap, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "scenario\tworth\twithout "+list[0].Other.lacks()+"\tdifference\tstandard error\tbetter\t")
	for _, c := range list {
		fmt.Fprintf(table, "%s\t%.4f\t%.4f\t%+.4f\t%.4f\t%d of %d\t\n", c.Base.Scenario, c.Base.Worth, c.Other.Worth,
			c.Difference, c.Error, c.Better, len(c.Base.Plays))
	}
	return table.Flush()
}
