package pace

// raise replaces values so that none is less than the one before, with the least weighted squared change (pool
// adjacent violators).
func raise(values []float64, weight func(int) float64) {
	var means, weights []float64
	var counts []int
	for i, value := range values {
		means, weights, counts = append(means, value), append(weights, weight(i)), append(counts, 1)
		for n := len(means); n > 1 && means[n-2] > means[n-1]; n-- {
			a, b := n-2, n-1
			means[a] = (means[a]*weights[a] + means[b]*weights[b]) / (weights[a] + weights[b])
			weights[a], counts[a] = weights[a]+weights[b], counts[a]+counts[b]
			means, weights, counts = means[:b], weights[:b], counts[:b]
		}
	}
	i := 0
	for block, count := range counts {
		for range count {
			values[i] = means[block]
			i++
		}
	}
}
