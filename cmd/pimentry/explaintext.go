package main

import (
	"cmp"
	"fmt"
	"io"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"unicode"

	"github.com/pimentoyard/pimentoyard/internal/pimentry"
)

const columnGap = 2

// explanationWriter writes to a tabwriter. It ignores the errors of single writes, since the tabwriter keeps text that it could not
// write, and Flush tries again and reports the error.
type explanationWriter struct{ w *tabwriter.Writer }

// writeExplanations prints the answers of VMs for people.
func writeExplanations(w io.Writer, answers []vmAnswer) error {
	for i := range answers {
		t := explanationWriter{w: tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)}
		if i > 0 {
			t.line("")
		}
		if a := &answers[i]; a.Error != "" {
			t.line("VM at %s: no answer: %s", a.VM, printable(a.Error))
		} else {
			t.explanation(a.VM, &a.decoded)
		}
		if err := t.w.Flush(); err != nil {
			return err
		}
	}
	return nil
}

// printable returns a text without characters that change the terminal or the columns; published names may hold any.
func printable(text string) string {
	return strings.Map(func(r rune) rune {
		if r == unicode.ReplacementChar || !unicode.IsPrint(r) {
			return '_'
		}
		return r
	}, text)
}

func (t *explanationWriter) line(format string, args ...any) {
	_, _ = fmt.Fprintf(t.w, format+"\n", args...)
}

func (t *explanationWriter) explanation(address string, e *pimentry.Explanation) {
	t.line("VM %s in %s at %s", printable(e.Name), printable(string(e.DataCentre)), address)
	t.line("  address:\t%s", e.Address)
	v := &e.View
	if v.Ready {
		t.line("  view:\tera %d revision %d, configuration %d, confirmed %d ms ago (%s)", v.Era, v.Revision, v.Version, v.AgeMs, freshness(v.Fresh))
	} else {
		t.line("  view:\tnone, no configuration has been read")
	}
	if len(e.Evacuated) > 0 {
		t.line("  evacuated:\t%s", joined(e.Evacuated))
	}
	t.route(e.Route)
	for i := range e.Decisions {
		t.decision(&e.Decisions[i])
		// The table of a further copy is printed only if it differs.
		if i > 0 && reflect.DeepEqual(e.Decisions[i-1].Candidates, e.Decisions[i].Candidates) {
			continue
		}
		t.candidates(e.Decisions[i].Candidates)
	}
}

func freshness(isFresh bool) string {
	if isFresh {
		return "fresh"
	}
	return "not fresh: it may refuse no flow"
}

func joined[T ~string](names []T) string {
	var all []string
	for _, name := range names {
		all = append(all, printable(string(name)))
	}
	return strings.Join(all, ", ")
}

func (t *explanationWriter) route(r *pimentry.ExplainedRoute) {
	if r == nil {
		t.line("  route:\tnone")
		return
	}
	t.line("  route:\t%s, priority %d, target %s, timeout %s", printable(r.Name), r.Priority, milliseconds(r.TargetMs), milliseconds(r.TimeoutMs))
	for _, s := range r.Shares {
		t.line("  service:\t%s, weight %d, %s of the flows", printable(string(s.Service)), s.Weight, percent(s.Part))
	}
}

func milliseconds(ms int64) string {
	if ms == 0 {
		return "none"
	}
	return fmt.Sprintf("%d ms", ms)
}

func number(x float64) string { return strconv.FormatFloat(x, 'f', -1, 64) }

func percent(part float64) string {
	const hundred, format = 100, "%.4g%%"
	return fmt.Sprintf(format, part*hundred)
}

// results says what the actions mean for the caller.
var results = map[string]string{
	"forward": "forward to", "reset": "reset: refused at once", "drop": "drop: no answer",
}

func (t *explanationWriter) decision(d *pimentry.ExplainedDecision) {
	t.line("")
	var attempts []string
	for _, n := range d.Attempts {
		attempts = append(attempts, strconv.Itoa(n))
	}
	where := ""
	if d.Service != "" {
		where = "service " + printable(string(d.Service)) + ", "
	}
	result := cmp.Or(results[d.Action], printable(d.Action))
	if d.Host != "" {
		result += " " + printable(d.Host)
	}
	t.line("  %sattempt %s: %s", where, strings.Join(attempts, " "), result)
	t.line("    reason:\t%s", printable(d.Reason))
	if d.Cause != "" {
		t.line("    cause:\t%s", printable(d.Cause))
	}
	if d.Rule != "" {
		t.line("    rule:\t%s", printable(d.Rule))
	}
	if d.Host == "" {
		t.line("    later copy:\t%s", map[bool]string{true: "may be placed", false: "is not placed"}[d.LaterCopy])
	}
	if len(d.Equal) > 1 {
		t.line("    equal:\t%s (one at random)", joined(d.Equal))
	}
	t.admission(d.Admission)
}

func (t *explanationWriter) admission(a *pimentry.ExplainedAdmission) {
	if a == nil {
		return
	}
	t.line("    urgency:\t%d of %d", a.Rank+1, a.Levels)
	t.line("    limit:\t%s of the places", percent(a.Limit))
	t.line("    own places:\t%s, filled %d", number(a.Places), a.Filled)
	if a.PressureHigh {
		t.line("    pressure:\thigh, no flow waits for its next copy")
	}
	for _, r := range a.Remote {
		t.line("    other data centre:\t%s, %d under way, room for %s", printable(string(r.DataCentre)), r.UnderWay, number(max(0, r.Room)))
	}
}

func (t *explanationWriter) candidates(all []pimentry.ExplainedCandidate) {
	if len(all) == 0 {
		return
	}
	t.line("    backend server\tdata centre\tkind\tcompared by\tunder way\topen\telsewhere\tslots\tplaces\tspeed\tcold\towner")
	all = slices.Clone(all)
	slices.SortStableFunc(all, func(a, b pimentry.ExplainedCandidate) int {
		return cmp.Or(cmp.Compare(kindOrder(&a), kindOrder(&b)), cmp.Compare(compared(&a), compared(&b)))
	})
	for i := range all {
		c := &all[i]
		kind := string(c.Kind)
		if c.Reason != "" {
			kind += ": " + c.Reason
		}
		if c.Suspect && kind != "avoided" {
			kind += ", suspect"
		}
		t.line("    %s\t%s\t%s\t%s\t%s\t%d\t%s/%s\t%d\t%s\t%s\t%s\t%s", printable(c.Name), printable(string(c.DataCentre)), printable(kind),
			measure(c), number(c.UnderWay), c.Open, number(c.BusyElsewhere), number(c.OpenElsewhere), c.Slots, dash(c.Places > 0, number(c.Places)),
			number(c.Speed), dash(c.ColdMs > 0, milliseconds(c.ColdMs)), dash(c.SlowStartOwner != "", printable(c.SlowStartOwner)))
	}
}

// kindOrder is the order of kinds in the table.
func kindOrder(c *pimentry.ExplainedCandidate) int {
	return slices.Index([]string{"own", "shared", "remote", "avoided", "excluded", "not_examined"}, string(c.Kind))
}

// compared returns the value by which the decision compares a candidate.
func compared(c *pimentry.ExplainedCandidate) float64 {
	for _, value := range []*float64{c.Wait, c.Fill, c.PerSlot, c.Cost} {
		if value != nil {
			return *value
		}
	}
	return 0
}

func measure(c *pimentry.ExplainedCandidate) string {
	noRoom := map[bool]string{true: " (no room)"}
	switch {
	case c.Fill != nil:
		return "fill " + number(*c.Fill) + wait(c) + noRoom[c.Full]
	case c.PerSlot != nil:
		return "per slot " + number(*c.PerSlot) + wait(c) + noRoom[c.Full || c.Closed]
	case c.Cost != nil:
		return "cost " + number(*c.Cost)
	default:
		return "-"
	}
}

// wait returns what orders the candidates of a kind where it is not the value itself.
func wait(c *pimentry.ExplainedCandidate) string {
	if c.Wait == nil {
		return ""
	}
	return ", wait " + number(*c.Wait)
}

func dash(isKnown bool, text string) string {
	if isKnown {
		return text
	}
	return "-"
}
