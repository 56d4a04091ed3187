package queue

// ranks orders entries by due instant and sums count and cost over any prefix in
// logarithmic time. It is a treap: a search tree by due instant and arrival, and
// a heap by a hash of the arrival number, which keeps its expected depth
// logarithmic (Seidel and Aragon, "Randomized Search Trees").
type ranks[T any] struct {
	root *node[T]
}

// node is one entry with the sums of its subtree.
type node[T any] struct {
	entry       *entry[T]
	priority    uint64
	left, right *node[T]
	count       int
	cost        float64
}

// mix spreads an arrival number over 64 bits (the finalizer of SplitMix64).
func mix(number uint64) uint64 {
	number += 0x9e3779b97f4a7c15
	number = (number ^ (number >> 30)) * 0xbf58476d1ce4e5b9
	number = (number ^ (number >> 27)) * 0x94d049bb133111eb
	return number ^ (number >> 31)
}

// len returns the number of entries.
func (ranks *ranks[T]) len() int { return ranks.root.size() }

// add inserts an entry.
func (ranks *ranks[T]) add(entry *entry[T]) {
	added := &node[T]{entry: entry, priority: mix(entry.sequence)}
	added.sum()
	ranks.root = ranks.root.insert(added)
}

// remove deletes an entry that is present.
func (ranks *ranks[T]) remove(entry *entry[T]) { ranks.root = ranks.root.remove(entry) }

// last returns the entry that is due last, or nil.
func (ranks *ranks[T]) last() *entry[T] {
	if ranks.root == nil {
		return nil
	}
	node := ranks.root
	for node.right != nil {
		node = node.right
	}
	return node.entry
}

// upTo returns the count and the cost of the entries that are due by an instant.
func (ranks *ranks[T]) upTo(due int64) (int, float64) {
	count, cost := 0, 0.0
	for node := ranks.root; node != nil; {
		if node.entry.due > due {
			node = node.left
			continue
		}
		count += node.left.size() + 1
		cost += node.left.total() + node.entry.item.Cost
		node = node.right
	}
	return count, cost
}

// size returns the number of entries of a subtree.
func (node *node[T]) size() int {
	if node == nil {
		return 0
	}
	return node.count
}

// total returns the cost of a subtree.
func (node *node[T]) total() float64 {
	if node == nil {
		return 0
	}
	return node.cost
}

// sum recomputes the node's sums from its children.
func (node *node[T]) sum() {
	node.count = node.left.size() + node.right.size() + 1
	node.cost = node.left.total() + node.right.total() + node.entry.item.Cost
}

// insert returns the subtree with a node added.
func (node *node[T]) insert(added *node[T]) *node[T] {
	if node == nil {
		return added
	}
	if added.priority > node.priority {
		added.left, added.right = node.split(added.entry)
		added.sum()
		return added
	}
	if sooner(added.entry, node.entry) {
		node.left = node.left.insert(added)
	} else {
		node.right = node.right.insert(added)
	}
	node.sum()
	return node
}

// split divides a subtree into what is due before an entry and the rest.
func (node *node[T]) split(entry *entry[T]) (before, after *node[T]) {
	if node == nil {
		return nil, nil
	}
	if sooner(node.entry, entry) {
		node.right, after = node.right.split(entry)
		node.sum()
		return node, after
	}
	before, node.left = node.left.split(entry)
	node.sum()
	return before, node
}

// remove returns the subtree without an entry.
func (node *node[T]) remove(entry *entry[T]) *node[T] {
	if node == nil {
		return nil
	}
	if node.entry == entry {
		return node.left.merge(node.right)
	}
	if sooner(entry, node.entry) {
		node.left = node.left.remove(entry)
	} else {
		node.right = node.right.remove(entry)
	}
	node.sum()
	return node
}

// merge joins two subtrees of which the second is due later.
func (node *node[T]) merge(later *node[T]) *node[T] {
	if node == nil {
		return later
	}
	if later == nil {
		return node
	}
	if node.priority > later.priority {
		node.right = node.right.merge(later)
		node.sum()
		return node
	}
	later.left = node.merge(later.left)
	later.sum()
	return later
}
