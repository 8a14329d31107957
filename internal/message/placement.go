package message

import "hash/fnv"

// Messages with a partition key use the even partitions; messages without one use the odd, free partitions. So the handover of a partition
// with ordered messages is not delayed by long queues of messages without order.

// PartitionForKey maps a key to one of the even partitions. All processes must compute the same partition.
func PartitionForKey(key string, partitions uint32) uint32 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(key))
	pairs := max(1, uint64(partitions)/2)
	return uint32(hash.Sum64() % pairs * 2)
}
