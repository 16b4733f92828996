// Package design describes the interface for callers and operators in goa's language; goa writes
// the packages under gen/ from it.
package design

import (
	. "goa.design/goa/v3/dsl" //nolint:revive,staticcheck // goa's language is written with a dot import
)

var _ = API("crocusstile", func() {
	Title("Crocusstile")
	Description("Online and batch inference on one fleet.")
	Version("1")
	Server("crocusstiled", func() {
		Host("local", func() { URI("http://127.0.0.1:8080") })
	})
})

// refusalType is the error of every method.
var refusalType = Type("Refusal", func() {
	Description("Why a request got no whole answer, and whether it may have run.")
	ErrorName("name", String, "Reason, such as overloaded.")
	Attribute("message", String, "What is wrong and what would be right.")
	Attribute("field", String, "The field that is wrong, if one is.")
	Attribute("ran", String, "What is known about its effect.", func() {
		Enum("notRun", "failed", "unknown")
	})
	Required("name", "message", "ran")
})

// refusals declares the errors that every service has.
func refusals() {
	for _, name := range []string{
		"invalid", "notFound", "conflict", "stale", "overloaded", "expired",
		"unavailable", "quarantined", "broken", "rejected", "leaving",
	} {
		Error(name, refusalType)
	}
	HTTP(func() {
		Response("invalid", StatusBadRequest)
		Response("notFound", StatusNotFound)
		Response("conflict", StatusConflict)
		Response("stale", StatusPreconditionFailed)
		Response("overloaded", StatusTooManyRequests)
		Response("expired", StatusGatewayTimeout)
		Response("unavailable", StatusServiceUnavailable)
		Response("quarantined", StatusUnprocessableEntity)
		Response("broken", StatusBadGateway)
		Response("rejected", StatusFailedDependency)
		Response("leaving", StatusServiceUnavailable)
	})
}

// callerAttributes are the attributes of every online request.
func callerAttributes() {
	Attribute("tenant", String, "The tenant (workspace) that asks.", func() { MinLength(1); MaxLength(64) })
	Attribute("class", String, "online (the default) or batch; it sorts the histograms.", func() {
		Enum("online", "batch")
	})
	Attribute("deadlineMs", Int64, "Time in milliseconds from receipt after which the answer is of no use.", func() {
		Minimum(1)
	})
	Attribute("idempotencyKey", String, "Joins a resend to the first call.", func() { MaxLength(256) })
	Attribute("nonIdempotent", Boolean, "The request must not run more than once.", func() { Default(false) })
}

func generationAttributes() {
	Attribute("model", String, "Model.", func() { MinLength(1) })
	Attribute("adapter", String, "Adapter of the model.")
	Attribute("version", String, "Version of the model; by default the one in force.")
	Attribute("prompt", String, "Prompt.", func() { MinLength(1) })
	Attribute("maxTokens", Int32, "Number of tokens to generate at most.", func() {
		Minimum(1)
		Maximum(32768)
		Default(64)
	})
}

var askPayload = Type("Ask", func() {
	callerAttributes()
	generationAttributes()
	Required("tenant", "model", "prompt")
})

var _ = Service("inference", func() {
	Description("Online inference.")
	refusals()
	Method("ask", func() {
		Description("Streams an answer as server-sent events; the event with done ends it.")
		Payload(askPayload)
		Result(func() {
			Attribute("contentType", String)
			Attribute("requestID", String)
			Required("contentType", "requestID")
		})
		HTTP(func() {
			POST("/v1/ask")
			SkipResponseBodyEncodeDecode()
			Response(StatusOK, func() {
				Header("contentType:Content-Type")
				Header("requestID:X-Request-Id")
			})
		})
	})
	Method("answer", func() {
		Description("Returns a whole answer.")
		Payload(askPayload)
		Result(func() {
			Attribute("id", String)
			Attribute("text", String)
			Attribute("tokens", Int32)
			Attribute("firstTokenMs", Int64)
			Attribute("tookMs", Int64)
			Required("id", "text", "tokens", "firstTokenMs", "tookMs")
		})
		HTTP(func() { POST("/v1/answer") })
	})
})

var _ = Service("services", func() {
	Description("Calls of plain services.")
	refusals()
	Method("call", func() {
		Description("Passes a call on to a plain service.")
		Payload(func() {
			callerAttributes()
			Attribute("service", String, "Service.", func() { MinLength(1) })
			Attribute("method", String, "Method of the service.", func() { MinLength(1) })
			Attribute("body", Any, "JSON value that is passed on.")
			Required("tenant", "service", "method")
		})
		Result(func() {
			Attribute("id", String)
			Attribute("answer", Any, "JSON value that the service answered.")
			Attribute("joined", Boolean, "The answer is that of an earlier call with the same key.")
			Required("id", "joined")
		})
		HTTP(func() { POST("/v1/services/{service}/{method}") })
	})
})

var itemType = Type("Item", func() {
	Description("One unit of a batch job: a prompt for a model, or a call of a plain service.")
	Attribute("model", String)
	Attribute("adapter", String)
	Attribute("version", String)
	Attribute("prompt", String)
	Attribute("maxTokens", Int32, func() { Minimum(1); Maximum(32768); Default(64) })
	Attribute("service", String)
	Attribute("method", String)
	Attribute("body", Any)
	Attribute("nonIdempotent", Boolean, func() { Default(false) })
})

var jobType = Type("Job", func() {
	Attribute("id", String)
	Attribute("tenant", String)
	Attribute("key", String)
	Attribute("state", String)
	Attribute("dueMs", Int64, "Unix time in milliseconds.")
	for _, n := range []string{"count", "waiting", "running", "done", "failed", "cancelled", "unknown", "undurable"} {
		Attribute(n, Int32)
		Required(n)
	}
	Attribute("joined", Boolean, "The job had been submitted before.")
	Required("id", "tenant", "key", "state", "dueMs", "joined")
})

var resultType = Type("ItemResult", func() {
	Attribute("index", Int32)
	Attribute("state", String)
	Attribute("output", String)
	Attribute("error", String)
	Attribute("attempts", Int32)
	Required("index", "state", "attempts")
})

func jobPath() {
	Attribute("id", String, func() { MinLength(1) })
	Attribute("tenant", String, func() { MinLength(1) })
	Required("id", "tenant")
}

var _ = Service("jobs", func() {
	Description("Batch jobs.")
	refusals()
	Method("submit", func() {
		Description("Submits a job; it is accepted once it is durable. A job with the same tenant and key is joined.")
		Payload(func() {
			Attribute("tenant", String, func() { MinLength(1); MaxLength(64) })
			Attribute("key", String, "Chosen by the caller; names the job.", func() { MinLength(1); MaxLength(256) })
			Attribute("dueMs", Int64, "Time in milliseconds from receipt until the job is due.", func() { Minimum(1) })
			Attribute("items", ArrayOf(itemType), func() { MinLength(1); MaxLength(130000) })
			Required("tenant", "key", "items")
		})
		Result(jobType)
		HTTP(func() { POST("/v1/jobs"); Response(StatusAccepted) })
	})
	Method("list", func() {
		Description("Lists the jobs whose shards this VM owns.")
		Result(ArrayOf(jobType))
		HTTP(func() { GET("/v1/jobs") })
	})
	Method("status", func() {
		Payload(func() { jobPath() })
		Result(jobType)
		HTTP(func() { GET("/v1/jobs/{id}"); Param("tenant") })
	})
	Method("cancel", func() {
		Payload(func() { jobPath() })
		Result(jobType)
		HTTP(func() { DELETE("/v1/jobs/{id}"); Param("tenant") })
	})
	Method("results", func() {
		Description("Returns ended items, page by page, also while the job runs.")
		Payload(func() {
			jobPath()
			Attribute("after", Int32, "Index to begin with.", func() { Minimum(0); Default(0) })
			Attribute("limit", Int32, "Number of items at most.", func() { Minimum(1); Maximum(5000); Default(500) })
		})
		Result(func() {
			Attribute("results", ArrayOf(resultType))
			Attribute("next", Int32, "Index to go on with.")
			Attribute("state", String, "State of the job.")
			Required("results", "next", "state")
		})
		HTTP(func() { GET("/v1/jobs/{id}/results"); Param("tenant"); Param("after"); Param("limit") })
	})
})

var deploymentType = Type("Deployment", func() {
	Attribute("name", String)
	Attribute("service", String, "The group of runners.")
	Attribute("model", String)
	Attribute("version", String)
	Attribute("adapters", ArrayOf(String))
	Attribute("minRunners", Int)
	Required("name", "service", "model", "version")
})

var serviceType = Type("ServiceState", func() {
	Attribute("name", String)
	Attribute("nonIdempotent", ArrayOf(String), "Methods whose calls must not be repeated.")
	Attribute("timeoutMs", Int64, "Time limit of a call in milliseconds.")
	Required("name")
})

var tenantType = Type("TenantLimits", func() {
	Attribute("tenant", String)
	Attribute("maxOnline", Int32, "Online requests at once on each VM; 0 means no bound.")
	Attribute("weight", Float64, "Share against other tenants; 0 means 1.")
	Required("tenant")
})

func ticketAttributes() {
	Attribute("number", Int64, "Number of the ticket, above 0.")
	Attribute("operator", String, "Who files it.")
	Attribute("deployment", deploymentType, "Whole new state, if the scope is a deployment.")
	Attribute("service", serviceType, "Whole new state, if the scope is a service.")
	Attribute("tenant", tenantType, "Whole new state, if the scope is a tenant.")
}

var ticketType = Type("Ticket", func() {
	ticketAttributes()
	Attribute("scope", String)
	Attribute("inForceMs", Int64, "Unix time in milliseconds at which this VM put it in force.")
	Required("number", "operator", "scope", "inForceMs")
})

var vmType = Type("VM", func() {
	Attribute("id", String)
	Attribute("incarnation", String)
	Attribute("dataCentre", String)
	Attribute("address", String)
	Attribute("leaving", Boolean)
	Attribute("live", Boolean)
	Attribute("linked", Boolean)
	Attribute("self", Boolean)
	Required("id", "incarnation", "dataCentre", "address", "leaving", "live", "linked", "self")
})

var runnerType = Type("Runner", func() {
	Attribute("id", String)
	Attribute("kind", String)
	Attribute("service", String)
	Attribute("dataCentre", String)
	Attribute("address", String)
	Attribute("leaving", Boolean)
	Attribute("down", Boolean)
	Attribute("ejected", Boolean)
	Attribute("slots", Int32)
	Attribute("running", Int32, "As last reported.")
	Attribute("online", Int32, "Online requests from this VM.")
	Attribute("batch", Int32, "Batch runs from this VM.")
	Attribute("sender", String, "The VM that sends batch to it.")
	Attribute("batchLimit", Float64, "On the sender only.")
	Attribute("loaded", ArrayOf(String))
	Required("id", "kind", "service", "dataCentre", "address", "leaving", "down", "ejected", "slots",
		"running", "online", "batch", "sender", "batchLimit", "loaded")
})

var _ = Service("operations", func() {
	Description("What operators do and see.")
	refusals()
	Method("file", func() {
		Description("Files a change ticket: the whole new state of exactly one scope.")
		Payload(func() { ticketAttributes(); Required("number", "operator") })
		Result(ticketType)
		HTTP(func() { POST("/v1/tickets") })
	})
	Method("tickets", func() {
		Description("Lists the tickets in force on this VM.")
		Payload(func() { Attribute("scope", String) })
		Result(ArrayOf(ticketType))
		HTTP(func() { GET("/v1/tickets"); Param("scope") })
	})
	Method("vms", func() {
		Result(ArrayOf(vmType))
		HTTP(func() { GET("/v1/vms") })
	})
	Method("runners", func() {
		Result(ArrayOf(runnerType))
		HTTP(func() { GET("/v1/runners") })
	})
	Method("drain", func() {
		Description("Tells this VM to finish its requests and leave.")
		Result(func() { Attribute("phase", String); Required("phase") })
		HTTP(func() { POST("/v1/drain"); Response(StatusAccepted) })
	})
})
