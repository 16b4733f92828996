package standin

// Markers in prompts, and in methods and bodies of calls, that provoke a fault.
const (
	// MarkCrash in a prompt makes the runner crash when it starts to run it.
	MarkCrash = "CRASH"
	// MarkPoison in a prompt makes the runner answer 422.
	MarkPoison = "POISON"
	// MarkFail in a call makes the service answer 500 after it ran.
	MarkFail = "FAIL"
	// MarkRefuse in a call makes the service answer 503 without running it.
	MarkRefuse = "REFUSE"
)
