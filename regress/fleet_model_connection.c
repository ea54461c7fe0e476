/*
 * Connections from hosts to workers in the fleet model.  An order goes only
 * over a connection on which the life that it names has replied; otherwise a
 * call that changes nothing, the probe, is sent ahead on a new one.
 */
#include <string.h>

#include "fleet_model_private.h"

/* Part of the clock of a life that a later one has to fall short of. */
#define CLOCK_SURE_RATE 0.97

static bool take_connection(worker_call_t *call);
static void send_probe(model_t *m, worker_call_t *order);
static bool is_named(const worker_call_t *call, const life_t *life);

void model_connection_send(model_t *m, worker_call_t *call)
{
	if (m->options->unbound || call->slot == MODEL_NONE ||
	    take_connection(call)) {
		worker_call_send(m, call);
	} else if (call->kind == CALL_RENEWAL) {
		call->deadline_ms = 0;
		call->acked_end = 0;
		call->max_wait_ms = 0;
		worker_call_send(m, call);
	} else {
		send_probe(m, call);
	}
}

/* Uses an idle connection to the life that the call names, if there is one. */
static bool take_connection(worker_call_t *call)
{
	model_connections_t *open = &call->host->connections[call->slot];

	if (!open->n_idle || !is_named(call, open->life))
		return false;
	open->n_idle--;
	call->bound_to = open->life;
	return true;
}

static void send_probe(model_t *m, worker_call_t *order)
{
	worker_call_t *probe = model_alloc(m, sizeof(*probe));

	*probe = (worker_call_t){ .kind = CALL_RENEWAL,
				  .host = order->host,
				  .boot = order->boot,
				  .generation = order->generation,
				  .slot = order->slot,
				  .epoch = order->epoch,
				  .names = order->names,
				  .order = order };
	g_strlcpy(probe->worker, order->worker, sizeof(probe->worker));
	worker_call_send(m, probe);
}

/* A call that names no life is meant for any. */
static bool is_named(const worker_call_t *call, const life_t *life)
{
	return life && !strcmp(call->worker, life->id) &&
	       (!call->names || call->names == life->start_ms);
}

bool model_connection_replied(model_t *m, worker_call_t *call)
{
	model_connections_t *open;
	worker_call_t *order = call->order;
	life_t *life = call->replied;

	if (m->options->unbound || call->slot == MODEL_NONE)
		return true;
	if (life && call->reply != GH_ORDER_OUTCOME_UNKNOWN &&
	    call->reply != GH_ORDER_OTHER_INCARNATION &&
	    call->reply != GH_ORDER_LATER_LIFE) {
		open = &call->host->connections[call->slot];
		if (open->life != life)
			*open = (model_connections_t){ .life = life };
		open->n_idle++;
	}
	if (!order)
		return true;
	if (call->reply == GH_ORDER_OK && take_connection(order)) {
		worker_call_send(m, order);
		return false;
	}
	order->reply = call->reply;
	if (call->reply == GH_ORDER_OK && life) {
		order->reply = GH_ORDER_OVERTAKEN;
		order->replied_start_ms = life->start_ms;
	} else if (call->reply == GH_ORDER_OUTCOME_UNKNOWN) {
		order->reply = GH_ORDER_UNSENT;
	}
	model_log(m, &order->task, "%s of run %u by host %u not sent: %d",
		  order->kind == CALL_START ? "start" : "stop", order->run,
		  order->host->index, order->reply);
	order->finished = true;
	host_on_worker_reply(order->host, order);
	return false;
}

bool model_connection_shows_later(const model_t *m, const worker_call_t *call,
				  const life_t *life)
{
	guint i;

	if (m->options->unbound || call->kind == CALL_RENEWAL || !call->names ||
	    call->names == life->start_ms)
		return false;
	for (i = 0; i < m->lives->len; i++) {
		const life_t *named = m->lives->pdata[i];

		if (named->start_ms == call->names)
			return (double)life_clock_ms(m, life) <
			       CLOCK_SURE_RATE *
				       (double)life_clock_ms(m, named);
	}
	return false;
}
