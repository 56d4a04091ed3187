package study

import (
	"fmt"
	"io"
	"text/tabwriter"

	"primrosegw/core/fault"
)

// Write writes the report as a table.
func (report Report) Write(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "day %s, %d seeds\n\n", report.Day, report.Seeds)
	fmt.Fprintln(table, "policy\tworth\tgain\tworst seconds\tprompt read\tread again, millions")
	for _, policy := range report.Policies {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\n", policy.Policy, policy.Worth, policy.Gain, policy.Worst, policy.Read, policy.Again)
	}
	fmt.Fprintln(table, "\npolicy\tclass\tworth\tin time\tlate\trefused\tlost\tfirst ms p50, p95\tpause ms p50, p95")
	for _, policy := range report.Policies {
		for _, class := range policy.Classes {
			fmt.Fprintf(table, "%s\t%s\t%s\t%.3f\t%.3f\t%.3f\t%.3f\t%.0f, %.0f\t%.0f, %.0f\n", policy.Policy, class.Name, class.Worth,
				class.InTime, class.Late, class.Refused, class.Lost, class.FirstMs[0], class.FirstMs[1], class.PauseMs[0], class.PauseMs[1])
		}
	}
	fmt.Fprintln(table, "\npolicy\tphase\tframing\twhole\tcut\tshort")
	for _, policy := range report.Policies {
		for _, count := range policy.Responses {
			fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%d\t%d\n", policy.Policy, count.Phase, count.Framing, count.Whole, count.Cut, count.Short)
		}
	}
	if err := table.Flush(); err != nil {
		return fault.Wrap("study.write", Unreadable, err)
	}
	return nil
}

// String returns the mean with its interval.
func (mean Mean) String() string { return fmt.Sprintf("%.3f +- %.3f", mean.Value, mean.Error) }
