package fuzz

import (
	"fmt"
	"time"

	"pgregory.net/rapid"

	"github.com/carobknot/carobknot/internal/carobheader"
	"github.com/carobknot/carobknot/pkg/carobarrival"
	"github.com/carobknot/carobknot/pkg/carobcredential"
	"github.com/carobknot/carobknot/pkg/carobguarantee"
	"github.com/carobknot/carobknot/pkg/carobinbox"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobkeydigest"
	"github.com/carobknot/carobknot/pkg/carobname"
	"github.com/carobknot/carobknot/pkg/caroborganisation"
	"github.com/carobknot/carobknot/pkg/caroborganisationid"
	"github.com/carobknot/carobknot/pkg/caroboutbox"
	"github.com/carobknot/carobknot/pkg/carobrequirements"
	"github.com/carobknot/carobknot/pkg/carobroute"
	"github.com/carobknot/carobknot/pkg/carobroutetable"
	"github.com/carobknot/carobknot/pkg/carobsend"
	"github.com/carobknot/carobknot/pkg/carobservice"
	"github.com/carobknot/carobknot/pkg/carobweightedservice"
)

// operator simulates the operator's store of route tables, all of which require API keys.
type operator struct {
	sim    *simulation
	oracle *identityOracle
	newest *carobroutetable.RouteTable
	// cut holds the places whose nodes get no response from the store.
	cut map[int]bool
	// settled is true once callers use only a key that every table has.
	settled bool
}

const (
	callHost      = "a.example"
	anonymousPath = "/open/"
	// constantKey is in every table.
	constantKey = "key-0"
	// storeFailures is the number of failed reads after which the store counts as unreadable,
	// and storeRecheck the time after which such a node reads again.
	storeFailures = 2
	storeRecheck  = 10 * time.Second
)

func newOperator(sim *simulation) *operator {
	o := &operator{sim: sim, oracle: newIdentityOracle(sim.oracle), cut: map[int]bool{}}
	o.publish()
	return o
}

// publish puts a new table into the store. Each key gets a random organisation or none.
func (o *operator) publish() {
	const keys, organisations = 5, 3
	table := &carobroutetable.RouteTable{Version: 1, RequiresKey: true}
	if o.newest != nil {
		table.Version = o.newest.Version + 1
	}
	for i := range organisations {
		table.Organisations = append(table.Organisations, caroborganisation.Organisation{ID: caroborganisationid.ID(fmt.Sprintf("org-%d", i)), Priority: i})
	}
	held := map[string]string{}
	for i := range keys {
		chosen := o.sim.random.IntN(organisations + 2)
		key := fmt.Sprintf("key-%d", i)
		if key == constantKey {
			chosen %= organisations
		}
		if chosen < organisations {
			organisation := &table.Organisations[chosen]
			organisation.Keys = append(organisation.Keys, carobkeydigest.Of([]byte(key)))
			held[key] = string(organisation.ID)
		}
	}
	for _, service := range services {
		table.Routes = append(table.Routes, routeOf(service.name, "/"+string(service.name)+"/", carobguarantee.Guarantee(service.guarantee)))
	}
	anonymous := routeOf(services[0].name, anonymousPath, carobguarantee.Guarantee(services[0].guarantee))
	anonymous.Anonymous = true
	table.Routes = append(table.Routes, anonymous)
	if err := table.Check(); err != nil {
		panic(err)
	}
	o.newest = table
	o.oracle.published(held, o.sim.elapsed())
}

func routeOf(service carobservice.Service, prefix string, guarantee carobguarantee.Guarantee) carobroute.Route {
	return carobroute.Route{
		Name: carobname.Name(service), Host: callHost, Prefix: prefix, Guarantee: guarantee, Attempts: 3,
		WeightedServices: []carobweightedservice.WeightedService{{Service: service, Weight: 1}},
	}
}

// address replaces the service of an arriving call by a route and a key, and tells the oracle.
func (o *operator) address(arrival *carobarrival.Arrival) {
	carried := &identity{}
	arrival.Host, arrival.Path = callHost, "/"+string(arrival.Service)+"/x"
	const draws = 8
	switch draw := o.sim.random.IntN(draws); {
	case o.settled || draw < 2:
		carried.key = constantKey
	case draw == 2:
	case draw == 3 && arrival.Service == services[0].name:
		arrival.Path, carried.anonymous = anonymousPath+"x", true
		carried.key = constantKey
	default:
		carried.key = fmt.Sprintf("key-%d", draw-2)
	}
	arrival.Service = ""
	if carried.key != "" {
		arrival.Credential = carobcredential.Credential{Key: carobkeydigest.Of([]byte(carried.key)), Valid: true}
	}
	o.oracle.calls[arrival.Call.String()] = carried
}

// requirements returns the requirements of an attempt as its target's node receives them.
func (o *operator) requirements(send carobsend.Send) carobrequirements.Requirements {
	o.oracle.sent(send.Job.Call.String(), send.RemoveIdentity)
	if send.PeerAddress == "" {
		return send.Requirements
	}
	offer, err := carobheader.ParseOffer(carobheader.FormatOffer(send))
	if err != nil {
		panic(err)
	}
	return offer.Requirements
}

// setCut cuts the node of a place off from the store, or ends that.
func (o *operator) setCut(place int, cut bool) {
	if o.cut[place] == cut {
		return
	}
	o.cut[place] = cut
	o.sim.nodes[place].storeReadableSince = neverReadable
}

// neverReadable is the value of node.storeReadableSince before the first read that succeeds.
const neverReadable = time.Duration(-1)

// applyTableEffects carries out the effects of a tick that concern the operator's store, as
// the poller of route tables does.
func (n *node) applyTableEffects(out *caroboutbox.Outbox) {
	if n.sim.operator == nil {
		return
	}
	n.sim.operator.oracle.inForceAt(fmt.Sprintf("%s-%d", n.self.Node, n.self.Incarnation), uint64(out.RoutesVersion))
	if out.AwaitingTable || out.ConfirmRoutes {
		n.readTable()
	}
}

// readTable reads the newest table from the store, unless a read is under way.
func (n *node) readTable() {
	if n.readingTable {
		return
	}
	n.readingTable = true
	startedAt := n.clock()
	n.after(n.sim.jitter(networkDelay), func() {
		operator, delay := n.sim.operator, n.sim.jitter(networkDelay)
		table, cut := operator.newest, operator.cut[n.place]
		if cut {
			delay = storeTimeout
		}
		n.after(delay, func() {
			n.readingTable = false
			if cut {
				n.tableReadFailed()
				return
			}
			n.tableRead(startedAt, table)
		})
	})
}

// tableRead passes on the result of a read.
func (n *node) tableRead(startedAt carobinstant.Instant, table *carobroutetable.RouteTable) {
	if n.storeReadableSince == neverReadable && !n.sim.operator.cut[n.place] {
		n.storeReadableSince = n.sim.elapsed()
	}
	recovered := n.failedReads >= storeFailures
	n.failedReads = 0
	n.enqueue(func(in *carobinbox.Inbox) {
		in.StoreReads = append(in.StoreReads, startedAt)
		if recovered {
			in.StoreUnreadable = append(in.StoreUnreadable, false)
		}
		if table.Version > n.tableVersion {
			n.tableVersion = table.Version
			in.RouteTables = append(in.RouteTables, table)
		}
	})
}

// tableReadFailed counts a failed read.
func (n *node) tableReadFailed() {
	n.storeReadableSince = neverReadable
	n.failedReads++
	if n.failedReads == storeFailures {
		n.enqueue(func(in *carobinbox.Inbox) { in.StoreUnreadable = append(in.StoreUnreadable, true) })
	}
	if n.failedReads >= storeFailures {
		n.after(storeRecheck, n.readTable)
	}
}

// readTablesSince reports whether the node has run without a pause and could read the store all
// the time since an instant.
func (n *node) readTablesSince(since time.Duration) bool {
	return n.runningSince(since) && n.storeReadableSince != neverReadable && n.storeReadableSince <= since
}

// updatedSince reports whether the node could read the store since an instant, or was
// connected to a node that could.
func (n *node) updatedSince(since time.Duration) bool {
	if !n.runningSince(since) {
		return false
	}
	if n.readTablesSince(since) {
		return true
	}
	for _, other := range n.sim.nodes {
		if other != n && other.readTablesSince(since) && n.sim.connectedSince(n.place, other.place) <= since {
			return true
		}
	}
	return false
}

// receiveArrivals tells the oracle which calls a node is about to decide on.
func (n *node) receiveArrivals(in *carobinbox.Inbox) {
	if n.sim.operator == nil {
		return
	}
	for _, arrival := range in.Arrivals {
		n.sim.operator.oracle.received(arrival.Call.String(), n.sim.elapsed(), n.updatedSince)
	}
}

// operatorActions returns the actions of a simulation with organisations.
func operatorActions(sim *simulation) map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"publish keys": func(*rapid.T) { sim.operator.publish() },
		"cut a third off the store": func(*rapid.T) {
			for place := range sim.nodes {
				sim.operator.setCut(place, sim.chance(0.35))
			}
		},
		"cut all off the store": func(*rapid.T) {
			for place := range sim.nodes {
				sim.operator.setCut(place, true)
			}
		},
		"mend the store": func(*rapid.T) { sim.operator.mend() },
	}
}

// mend lets all nodes reach the store.
func (o *operator) mend() {
	for place := range o.sim.nodes {
		o.setCut(place, false)
	}
}
