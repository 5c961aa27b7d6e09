package gateway

// benchMemoryLimits sets the limits of a gateway with 184 MB.
func benchMemoryLimits(h *harness) { setMemory(h, MemoryLimits{Total: 46 << 20}) }
