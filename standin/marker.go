package standin

// Markers that trigger a fault when a prompt, or the method or body of a service call, contains them.
const (
	// MarkCrash in a prompt makes the runner crash when it starts to execute the prompt.
	MarkCrash = "CRASH"
	// MarkUnprocessable in a prompt makes the runner respond with status 422 without executing the prompt.
	MarkUnprocessable = "POISON"
	// MarkFail in a call makes the service execute the call and respond with status 500.
	MarkFail = "FAIL"
	// MarkRefuse in a call makes the service respond with status 503 without executing the call.
	MarkRefuse = "REFUSE"
)
