package compare

// DeployedSize returns the size of a group in the current deployments.
func DeployedSize() Size {
	return Size{
		Name: "today", Layers: 4, Experts: 64, Ranks: 16, Slots: 5, Hosts: 8,
		TokensPerSecond: 30e3, StoreBytesPerSecond: 500 << 20,
	}
}

// TargetSize returns the size of a group at the project's target scale, with
// the given number of layers. The full group has 58 layers. Fewer suffice to
// measure the skew, because layers are planned in the same way and
// independently. The rate of the weight store is scaled with the number of
// layers.
func TargetSize(layers int) Size {
	return Size{
		Name: "target", Layers: layers, Experts: 256, Ranks: 256, Slots: 2, Hosts: 64,
		TokensPerSecond: 480e3, StoreBytesPerSecond: 2 << 30 / 58 * int64(layers),
	}
}
