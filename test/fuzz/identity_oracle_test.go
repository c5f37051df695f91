package fuzz

import (
	"maps"
	"slices"
	"time"
)

// identityOracle checks that calls run only for the organisation whose key they carry. Like
// oracle it shares no code with the product: keys and organisations are plain text.
type identityOracle struct {
	*oracle
	// tables holds the tables that the operator has published, the newest last.
	tables []keyTable
	calls  map[string]*identity
	// versions holds the version of the table in force at each incarnation of a node.
	versions map[string]uint64
	// Runs counts the runs for an organisation, Anonymous those without one, Late those with
	// a key that the newest table no longer held, and Refused the calls without a valid key.
	Runs, Anonymous, Late, Refused int
}

// keyTable is a table of the operator.
type keyTable struct {
	publishedAt time.Duration
	// organisations holds the organisation of each key.
	organisations map[string]string
}

// identity is what a call carries, and what it may become.
type identity struct {
	// key is empty if the call carries none.
	key       string
	anonymous bool
	// allowed holds the organisations for which the call may run, and refusable is true if
	// it may be refused. Both are empty until the entry node decides.
	allowed   map[string]bool
	refusable bool
}

// maxApplyTime is the time within which a node that could read the store, or was connected to
// a node that could, has the newest table in force.
const maxApplyTime = 2 * time.Second

func newIdentityOracle(o *oracle) *identityOracle {
	return &identityOracle{oracle: o, calls: map[string]*identity{}, versions: map[string]uint64{}}
}

// published records that the store has acknowledged a table.
func (o *identityOracle) published(organisations map[string]string, now time.Duration) {
	o.tables = append(o.tables, keyTable{now, maps.Clone(organisations)})
}

// received records that an entry node decides on a call. updatedSince reports whether the node
// has been able to learn of new tables all the time since an instant.
func (o *identityOracle) received(call string, now time.Duration, updatedSince func(since time.Duration) bool) {
	carried := o.calls[call]
	carried.allowed = map[string]bool{}
	for i, table := range slices.Backward(o.tables) {
		if i < len(o.tables)-1 {
			if replacedAt := o.tables[i+1].publishedAt; now-replacedAt > maxApplyTime && updatedSince(replacedAt) {
				return
			}
		}
		organisation, known := table.organisations[carried.key]
		if known {
			carried.allowed[organisation] = true
		} else {
			carried.refusable = true
		}
	}
}

// sent checks that an attempt does not take the key along. All tables require keys.
func (o *identityOracle) sent(call string, removesIdentity bool) {
	if !removesIdentity {
		o.recordViolation("call %s is sent with its key", call)
	}
}

// ran checks the organisation that a target is told.
func (o *identityOracle) ran(call, organisation string) {
	carried := o.calls[call]
	switch {
	case carried.anonymous && organisation != "":
		o.recordViolation("call %s of an anonymous route runs for %s", call, organisation)
	case carried.anonymous:
		o.Anonymous++
	case !carried.allowed[organisation]:
		o.recordViolation("call %s with key %q runs for %q, allowed are %v", call, carried.key, organisation, slices.Sorted(maps.Keys(carried.allowed)))
	default:
		o.Runs++
		if o.tables[len(o.tables)-1].organisations[carried.key] != organisation {
			o.Late++
		}
	}
}

// refused checks a call that was refused because of its key.
func (o *identityOracle) refused(call string) {
	o.Refused++
	if carried := o.calls[call]; carried.anonymous || !carried.refusable {
		o.recordViolation("call %s with key %q is refused, allowed are %v", call, carried.key, slices.Sorted(maps.Keys(carried.allowed)))
	}
}

// inForceAt checks the version of the table that a node has in force.
func (o *identityOracle) inForceAt(incarnation string, version uint64) {
	if before := o.versions[incarnation]; version < before {
		o.recordViolation("node %s returns from table %d to table %d", incarnation, before, version)
	}
	o.versions[incarnation] = version
}
