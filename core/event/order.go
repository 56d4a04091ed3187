package event

import "github.com/sirupsen/logrus"

// The numbers of the events of leases and of orders to engines.
const (
	LeaseHeld     = 4100
	LeaseLost     = 4101
	LeaseReleased = 4102
	OrderGiven    = 4110
	OrderVerified = 4111
	OrderWithheld = 4112
	OrderFailed   = 4113
)

// Order returns the events of leases and of orders to engines.
func Order() []Event {
	return []Event{
		{
			Number: LeaseHeld, Name: "lease_held", Level: logrus.InfoLevel, Subsystem: "lease",
			Text: "this host holds the lease with the fencing number given",
		},
		{
			Number: LeaseLost, Name: "lease_lost", Level: logrus.WarnLevel, Subsystem: "lease",
			Text: "the lease ended or could not be renewed in time; another host may hold it",
		},
		{
			Number: LeaseReleased, Name: "lease_released", Level: logrus.InfoLevel, Subsystem: "lease",
			Text: "this host gave the lease back",
		},
		{
			Number: OrderGiven, Name: "order_given", Level: logrus.InfoLevel, Subsystem: "order",
			Text: "an order is sent to a backend server, since its state differs from the desired one",
		},
		{
			Number: OrderVerified, Name: "order_verified", Level: logrus.DebugLevel, Subsystem: "order",
			Text: "a backend server's state was read and is the desired one",
		},
		{
			Number: OrderWithheld, Name: "order_withheld", Level: logrus.WarnLevel, Subsystem: "order",
			Text: "no order is sent: the remaining lease time is too short",
		},
		{
			Number: OrderFailed, Name: "order_failed", Level: logrus.WarnLevel, Subsystem: "order",
			Text: "a backend server did not reach the desired state",
		},
	}
}
