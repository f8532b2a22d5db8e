package pimplan

import (
	"fmt"
	"io"
	"strconv"
	"text/tabwriter"
)

// columnGap is the number of spaces between two columns.
const columnGap = 2

// WriteText writes the report as tables. It leaves out the contracts and services that do not change unless all is set.
func (r *Report) WriteText(w io.Writer, all bool) error {
	t := &textWriter{w: tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)}
	t.line("terms at %s", r.At.Format("2006-01-02 15:04 UTC"))
	t.contracts(r.Contracts, all)
	t.services(r.Services, all)
	t.owners(r.Owners)
	t.guaranteeChecks(r.GuaranteeChecks)
	t.flows(r.Flows)
	t.warnings(r.Warnings)
	return t.w.Flush()
}

// textWriter writes tables. It ignores the errors of single lines: the tabwriter keeps lines that it could not write, and
// the final flush tries them again and returns the error.
type textWriter struct{ w *tabwriter.Writer }

func (t *textWriter) line(format string, args ...any) {
	_, _ = fmt.Fprintf(t.w, format+"\n", args...)
}

func (t *textWriter) title(text string, rows int) {
	t.line("")
	if rows == 0 {
		t.line("%s: none", text)
		return
	}
	t.line("%s:", text)
}

func (t *textWriter) contracts(rows []ContractRow, all bool) {
	rows = keep(rows, func(r *ContractRow) bool { return all || r.Changed() })
	t.title("limits and slots per contract and data centre", len(rows))
	if len(rows) > 0 {
		t.line("  contract\tcustomer\tservice\tdata centre\trate/s\trate/s per VM\tflows\tguaranteed\tshared")
	}
	for _, r := range rows {
		t.line("  %d\t%s\t%d\t%s\t%s\t%s\t%s\t%s\t%s", r.Contract, r.Customer, r.Service, r.DataCentre,
			number(r.Rate), number(r.RatePerVM), number(r.Flows), number(r.Guaranteed), number(r.Shared))
	}
}

func (t *textWriter) services(rows []ServiceRow, all bool) {
	rows = keep(rows, func(r *ServiceRow) bool {
		return all || r.Hosts.Changed() || r.Slots.Changed() || r.Guaranteed.Changed()
	})
	t.title("slots per service and data centre", len(rows))
	if len(rows) > 0 {
		t.line("  service\tname\tdata centre\thosts\tslots\tguaranteed\tunowned")
	}
	for _, r := range rows {
		hosts := Change[float64]{float64(r.Hosts.Before), float64(r.Hosts.After)}
		t.line("  %d\t%s\t%s\t%s\t%s\t%s\t%s", r.Service, r.Name, r.DataCentre,
			number(hosts), number(r.Slots), number(r.Guaranteed), number(r.Unowned))
	}
}

func (t *textWriter) owners(rows []OwnerMove) {
	t.title("slot owners that move", len(rows))
	for _, r := range rows {
		t.line("  backend server %d\t%s\tVM %d -> VM %d", r.Backend, r.DataCentre, r.Owner.Before, r.Owner.After)
	}
}

func (t *textWriter) guaranteeChecks(rows []GuaranteeCheck) {
	t.title("guarantees against slots", len(rows))
	for _, r := range rows {
		verdict := "ok"
		if !r.OK {
			verdict = "too many"
		}
		t.line("  service %d\t%s UTC\t%d of %d\t%s", r.Service, r.Time, r.Guaranteed, r.Slots, verdict)
	}
}

func (t *textWriter) flows(rows []FlowEffect) {
	t.title("flows affected", len(rows))
	for _, r := range rows {
		effect := "go on"
		if r.Broken {
			effect = "break"
		}
		t.line("  service %d\tbackend server %d\tup to %d %s\t%s", r.Service, r.Backend, r.MaxFlows, effect, r.Reason)
	}
}

func (t *textWriter) warnings(rows []Warning) {
	t.title("warnings", len(rows))
	for _, r := range rows {
		t.line("  %s: %s", r.Subject, r.Reason)
	}
}

// number formats the value, or both values if they differ after rounding.
func number(c Change[float64]) string {
	format := func(x float64) string { return strconv.FormatFloat(x, 'f', -1, 64) }
	before, after := format(round(c.Before)), format(round(c.After))
	if before == after {
		return after
	}
	return before + " -> " + after
}

// round rounds to two decimal places, which is enough to compare limits and fractions of slots.
func round(x float64) float64 {
	const scale = 100
	return float64(int64(x*scale+0.5)) / scale
}

// keep returns the rows that match.
func keep[T any](rows []T, match func(*T) bool) (kept []T) {
	for i := range rows {
		if match(&rows[i]) {
			kept = append(kept, rows[i])
		}
	}
	return kept
}
