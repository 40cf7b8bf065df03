package emulator

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// PrintHeader writes the header of the table of experiment results. PrintRow adds the rows.
func PrintHeader(out io.Writer) *tabwriter.Writer {
	const cellGap = 2
	table := tabwriter.NewWriter(out, 0, 0, cellGap, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "scenario\twithout\tworth\t±\tbound\tnines\twindows\tkind\twasted\theld\tjobs\tin time\tlate\trefused\tfailed\tbroken\t")
	return table
}

// PrintRow writes a result as a table row: means over its seeds, the number of jobs of all seeds, and
// the shares of their outcomes.
func (r *ExperimentResult) PrintRow(table io.Writer) {
	var c Count
	var sum Summary
	n := float64(len(r.Trials))
	for i := range r.Trials {
		s := &r.Trials[i]
		c.Jobs, c.InTime, c.Late = c.Jobs+s.Jobs, c.InTime+s.InTime, c.Late+s.Late
		c.Refused, c.Failed = c.Refused+s.Refused, c.Failed+s.Failed
		sum.Bound, sum.Nines, sum.WorstWindows = sum.Bound+s.Bound/n, sum.Nines+s.Nines/n, sum.WorstWindows+s.WorstWindows/n
		sum.WorstKind, sum.Wasted = sum.WorstKind+s.WorstKind/n, sum.Wasted+s.Wasted/n
		sum.VainWait += s.VainWait / n
	}
	share := func(part int) float64 { return float64(part) / float64(max(c.Jobs, 1)) }
	fmt.Fprintf(table, "%s\t%s\t%.3f\t%.3f\t%.3f\t%.2f\t%.2f\t%.2f\t%.3f\t%.4f\t%d\t%.4f\t%.4f\t%.4f\t%.4f\t%d\t\n",
		r.Scenario, r.disabledMechanisms(), r.Score, r.StdDev, sum.Bound, sum.Nines, sum.WorstWindows, sum.WorstKind, sum.Wasted, sum.VainWait,
		c.Jobs, share(c.InTime), share(c.Late), share(c.Refused), share(c.Failed), len(r.Violations()))
}

// disabledMechanisms returns the names of the mechanisms that were disabled, or "-".
func (r *ExperimentResult) disabledMechanisms() string {
	if len(r.Without) == 0 {
		return "-"
	}
	var names []string
	for _, m := range r.Without {
		names = append(names, string(m))
	}
	return strings.Join(names, ",")
}

// PrintComparisons writes the differences between two policies, one row per scenario.
func PrintComparisons(out io.Writer, list []*Comparison) error {
	const cellGap = 2
	table := tabwriter.NewWriter(out, 0, 0, cellGap, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "scenario\tworth\twithout "+list[0].Other.disabledMechanisms()+"\tdifference\tstandard error\tbetter\t")
	for _, c := range list {
		fmt.Fprintf(table, "%s\t%.4f\t%.4f\t%+.4f\t%.4f\t%d of %d\t\n", c.Base.Scenario, c.Base.Score, c.Other.Score,
			c.Difference, c.StdError, c.Better, len(c.Base.Trials))
	}
	return table.Flush()
}
