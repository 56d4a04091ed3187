package event

import "github.com/sirupsen/logrus"

// OrderEvents returns the events of leases and of orders to engines.
func OrderEvents() []Event {
	return []Event{
		LeaseHeld(),
		LeaseLost(),
		LeaseReleased(),
		OrderGiven(),
		OrderVerified(),
		OrderWithheld(),
		OrderFailed(),
	}
}

// LeaseHeld reports that this host holds the lease with the given fencing
// token.
func LeaseHeld() Event {
	return Event{4100, "lease_held", logrus.InfoLevel, "lease", "This host holds the lease with the given fencing token."}
}

// LeaseLost reports that the lease ended or could not be renewed in time;
// another host may hold it.
func LeaseLost() Event {
	return Event{4101, "lease_lost", logrus.WarnLevel, "lease", "The lease ended or could not be renewed in time; another host may hold it."}
}

// LeaseReleased reports that this host released the lease.
func LeaseReleased() Event {
	return Event{4102, "lease_released", logrus.InfoLevel, "lease", "This host released the lease."}
}

// OrderGiven reports that an order is sent to a backend server, because its
// state differs from the desired state.
func OrderGiven() Event {
	return Event{4110, "order_given", logrus.InfoLevel, "order", "An order is sent to a backend server, because its state differs from the desired state."}
}

// OrderVerified reports that a backend server's state was read and matches the
// desired state.
func OrderVerified() Event {
	return Event{4111, "order_verified", logrus.DebugLevel, "order", "A backend server's state was read and matches the desired state."}
}

// OrderWithheld reports that no order is sent: the remaining lease time is too
// short.
func OrderWithheld() Event {
	return Event{4112, "order_withheld", logrus.WarnLevel, "order", "No order is sent: the remaining lease time is too short."}
}

// OrderFailed reports that a backend server did not reach the desired state.
func OrderFailed() Event {
	return Event{4113, "order_failed", logrus.WarnLevel, "order", "A backend server did not reach the desired state."}
}
