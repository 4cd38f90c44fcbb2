package blackboard

import (
	"github.com/ThreeDotsLabs/watermill"
	"github.com/ThreeDotsLabs/watermill/pubsub/gochannel"

	"github.com/cactusproxy/cactusproxy/declare"
	"github.com/cactusproxy/cactusproxy/routing"
)

// Sections of the board.
const (
	TopicConfig  Topic = "config"
	TopicMembers Topic = "members"
	TopicTargets Topic = "targets"
	TopicStatus  Topic = "status"
	TopicRoutes  Topic = "routes"
	TopicConfirmation Topic = "confirmation"

	TopicEvacuations Topic = "evacuations"
)

// Board is the state shared by one daemon's controllers.
type Board struct {
	// Config is the configuration in force; controller/config writes it.
	Config *Section[*declare.Config]
	// Members is the view of the entry hosts; controller/membership writes it.
	Members *Section[*Members]
	// Targets is the view of all targets; controller/targets writes it.
	Targets *Section[*Targets]
	// Status is what the host says of itself; controller/config and
	// controller/leave write it.
	Status *Section[Status]
	// Routes is the configuration by routes in force, nil while none is known;
	// controller/watch writes it on platforms that declare routes.
	Routes *Section[*routing.Table]
	// Evacuations are the orders to evacuate availability zones; controller/watch writes
	// it.
	Evacuations *Section[*Evacuations]
	// Confirmation is what this host has heard of how new those routes are;
	// controller/watch writes it.
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
