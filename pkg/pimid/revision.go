package pimid

import (
	"errors"
	"strconv"
)

// Revision numbers the changes of the platform. It holds the era above the number that the platform gave, so that each
// revision of an era is higher than all revisions of earlier eras.
type Revision uint64

// Era is the number of times that the platform was restored from an older copy of its state. Numbers are given out again in
// a new era.
type Era uint64

// The bits of a Revision.
const (
	numberBits          = 48
	numberMask Revision = 1<<numberBits - 1
	maxEra     Era      = 1<<(64-numberBits) - 1
)

// ErrRevision means that an era or a number does not fit a Revision.
var ErrRevision = errors.New("era or number of a revision is out of range")

// NewRevision returns a revision of an era, or ErrRevision.
func NewRevision(era Era, number uint64) (Revision, error) {
	if era > maxEra || number > uint64(numberMask) {
		return 0, ErrRevision
	}
	return Revision(era)<<numberBits | Revision(number), nil
}

// Era returns the era of the revision.
func (r Revision) Era() Era { return Era(r >> numberBits) }

// Number returns the number that the platform gave to the revision.
func (r Revision) Number() uint64 { return uint64(r & numberMask) }

// String returns the number, with the era in front of it unless that is 0.
func (r Revision) String() string {
	number := strconv.FormatUint(r.Number(), 10)
	if r.Era() == 0 {
		return number
	}
	return strconv.FormatUint(uint64(r.Era()), 10) + "." + number
}
