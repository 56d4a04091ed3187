package queue

// dueIndex orders entries by due time and sums the count and the cost of those
// due by a given time, in logarithmic time. It is a treap: a binary search tree by
// due time and arrival, and a heap by a hash of the arrival number, which keeps
// the expected depth logarithmic (Seidel and Aragon, "Randomized Search Trees").
type dueIndex[T any] struct {
	root *node[T]
}

// node is a tree node: an entry with the count and the cost of its subtree.
type node[T any] struct {
	entry       *entry[T]
	priority    uint64
	left, right *node[T]
	count       int
	cost        float64
}

// splitMix64 hashes an arrival number with the finalizer of SplitMix64.
func splitMix64(number uint64) uint64 {
	number += 0x9e3779b97f4a7c15
	number = (number ^ (number >> 30)) * 0xbf58476d1ce4e5b9
	number = (number ^ (number >> 27)) * 0x94d049bb133111eb
	return number ^ (number >> 31)
}

// len returns the number of entries.
func (dueIndex *dueIndex[T]) len() int { return dueIndex.root.size() }

// add inserts an entry.
func (dueIndex *dueIndex[T]) add(entry *entry[T]) {
	added := &node[T]{entry: entry, priority: splitMix64(entry.sequence)}
	added.updateSums()
	dueIndex.root = dueIndex.root.insert(added)
}

// remove deletes an entry.
func (dueIndex *dueIndex[T]) remove(entry *entry[T]) { dueIndex.root = dueIndex.root.remove(entry) }

// last returns the entry with the latest due time, or nil.
func (dueIndex *dueIndex[T]) last() *entry[T] {
	if dueIndex.root == nil {
		return nil
	}
	node := dueIndex.root
	for node.right != nil {
		node = node.right
	}
	return node.entry
}

// dueBy returns the count and the total cost of the entries due by the given time.
func (dueIndex *dueIndex[T]) dueBy(due int64) (int, float64) {
	count, cost := 0, 0.0
	for node := dueIndex.root; node != nil; {
		if node.entry.due > due {
			node = node.left
			continue
		}
		count += node.left.size() + 1
		cost += node.left.totalCost() + node.entry.item.Cost
		node = node.right
	}
	return count, cost
}

// size returns the number of entries of a subtree; the receiver may be nil.
func (node *node[T]) size() int {
	if node == nil {
		return 0
	}
	return node.count
}

// totalCost returns the cost of a subtree; the receiver may be nil.
func (node *node[T]) totalCost() float64 {
	if node == nil {
		return 0
	}
	return node.cost
}

// updateSums recomputes count and cost from the children.
func (node *node[T]) updateSums() {
	node.count = node.left.size() + node.right.size() + 1
	node.cost = node.left.totalCost() + node.right.totalCost() + node.entry.item.Cost
}

// insert adds a node and returns the new root of the subtree.
func (node *node[T]) insert(added *node[T]) *node[T] {
	if node == nil {
		return added
	}
	if added.priority > node.priority {
		added.left, added.right = node.split(added.entry)
		added.updateSums()
		return added
	}
	if lessByDue(added.entry, node.entry) {
		node.left = node.left.insert(added)
	} else {
		node.right = node.right.insert(added)
	}
	node.updateSums()
	return node
}

// split divides a subtree into the entries due before the given one and the rest.
func (node *node[T]) split(entry *entry[T]) (before, after *node[T]) {
	if node == nil {
		return nil, nil
	}
	if lessByDue(node.entry, entry) {
		node.right, after = node.right.split(entry)
		node.updateSums()
		return node, after
	}
	before, node.left = node.left.split(entry)
	node.updateSums()
	return before, node
}

// remove deletes an entry and returns the new root of the subtree.
func (node *node[T]) remove(entry *entry[T]) *node[T] {
	if node == nil {
		return nil
	}
	if node.entry == entry {
		return node.left.merge(node.right)
	}
	if lessByDue(entry, node.entry) {
		node.left = node.left.remove(entry)
	} else {
		node.right = node.right.remove(entry)
	}
	node.updateSums()
	return node
}

// merge joins two subtrees; all entries of the second are due later.
func (node *node[T]) merge(later *node[T]) *node[T] {
	if node == nil {
		return later
	}
	if later == nil {
		return node
	}
	if node.priority > later.priority {
		node.right = node.right.merge(later)
		node.updateSums()
		return node
	}
	later.left = node.merge(later.left)
	later.updateSums()
	return later
}
