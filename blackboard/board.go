package blackboard

import (
	"github.com/ThreeDotsLabs/watermill"
	"github.com/ThreeDotsLabs/watermill/pubsub/gochannel"

	"github.com/cactusproxy/cactusproxy/declare"
	"github.com/cactusproxy/cactusproxy/routing"
)

// Topics of the sections of a Board.
const (
	TopicConfig       Topic = "config"
	TopicMembers      Topic = "members"
	TopicTargets      Topic = "targets"
	TopicStatus       Topic = "status"
	TopicRoutes       Topic = "routes"
	TopicConfirmation Topic = "confirmation"

	TopicEvacuations Topic = "evacuations"
)

// Board is the state shared by the controllers of one daemon. The comment of each section
// names the packages that write it.
type Board struct {
	// Config is the active configuration; written by controller/config.
	Config *Section[*declare.Config]
	// Members is this host's view of the entry hosts; written by controller/membership, or by
	// controller/watch on platforms that configure routes.
	Members *Section[*Members]
	// Targets is this host's view of all targets; written by controller/targets, or by
	// controller/watch on platforms that configure routes. The daemon marks targets in it that
	// announce their shutdown.
	Targets *Section[*Targets]
	// Status is the state that this host reports of itself; written by controller/config,
	// controller/leave, controller/targets and controller/watch.
	Status *Section[Status]
	// Routes is the active route table, nil until one is known; written by controller/watch on
	// platforms that configure routes.
	Routes *Section[*routing.Table]
	// Evacuations are the availability zones being evacuated; written by controller/watch.
	Evacuations *Section[*Evacuations]
	// Confirmation tells how up to date Routes is known to be; written by controller/watch.
	Confirmation *Section[Confirmation]

	bus *gochannel.GoChannel
}

// New returns a board with an empty configuration and no hosts.
func New() *Board {
	bus := gochannel.NewGoChannel(gochannel.Config{OutputChannelBuffer: 16}, watermill.NopLogger{})
	return &Board{
		Config:  newSection(bus, TopicConfig, &declare.Config{}),
		Members: newSection(bus, TopicMembers, &Members{}),
		Targets: newSection(bus, TopicTargets, &Targets{}),
		Status:  newSection(bus, TopicStatus, Status{}),
		Routes:  newSection(bus, TopicRoutes, (*routing.Table)(nil)),

		Evacuations:  newSection(bus, TopicEvacuations, &Evacuations{}),
		Confirmation: newSection(bus, TopicConfirmation, Confirmation{}),

		bus: bus,
	}
}

// Close ends all watches.
func (b *Board) Close() error { return b.bus.Close() }
