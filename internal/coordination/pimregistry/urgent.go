package pimregistry

import (
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// ApplyUrgent applies a batch that holds all changes of backend servers and evacuations and nothing else, while a large response with all
// changes is still arriving. The revision of the view stays, so that the changes between are still read; each entry counts by its own
// revision, whichever way it comes first. It reports whether the batch holds anything new.
func (r *Registry) ApplyUrgent(b Batch) (isNew bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.applyEvacuations(&b)
	if !r.continuesUrgent(b.From, b.To) || r.mayRestoreRemoved(b.To) {
		return false
	}
	now := r.clock.Now()
	for _, c := range b.Changes {
		if c.Config == nil {
			r.applyChange(now, c)
		}
	}
	r.urgent = b.To
	r.publish()
	return true
}

// continuesUrgent reports whether changes of backend servers between two revisions lead on from those that are known. Those of
// another era mean nothing before its first list.
func (r *Registry) continuesUrgent(from, to pimid.Revision) bool {
	return r.revision > 0 && to.Era() == r.revision.Era() && from <= r.urgent && to > r.urgent
}

// knowsUrgent reports whether all changes of backend servers up to urgent are known. While later parts of a delta are missing, entries
// are that have changed before the end of a part and again after it.
func (r *Registry) knowsUrgent() bool { return !r.isPartial && r.urgent >= r.urgentUntil }

// SinceUrgent returns only the changes of backend servers that a request asks for, in parts as Since, or nothing if this VM may
// not know all of them. Evacuations are included, so that they do not wait for a large configuration either.
func (r *Registry) SinceUrgent(q DeltaRequest) Delta {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.knowsUrgent() || max(q.Urgent, q.Base) < r.base || q.Urgent >= r.urgent || q.Urgent.Era() != r.urgent.Era() {
		return Delta{}
	}
	d := Delta{From: q.Urgent, To: r.urgent, Newest: r.urgent, UrgentOnly: true, Evacuations: r.evacuations.set(), ByName: true}
	if last, ok := r.lastRevisionOfPart(q.Urgent, r.urgent, r.cfg.PartSize); ok {
		d.To, d.More = last, true
	}
	r.addEntries(&d)
	return d
}

// mergeUrgent merges a delta that holds only changes of backend servers; the revision of the view stays. The error is ErrGap if
// changes before it are missing.
func (r *Registry) mergeUrgent(d *Delta) error {
	switch {
	case d.To <= r.urgent:
		return nil
	case !r.continuesUrgent(d.From, d.To) || r.mayRestoreRemoved(d.Newest):
		return ErrGap
	}
	r.mergeEntries(r.clock.Now(), d)
	r.urgent = d.To
	if d.More {
		r.urgentUntil = max(r.urgentUntil, d.Last, d.Newest)
	}
	r.publish()
	return nil
}
