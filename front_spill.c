#include "front_internal.h"

#include <inttypes.h>
#include <string.h>

#include "clock.h"
#include "counter.h"
#include "node.h"
#include "peer.h"

/* Maximum of idle connections to one entry host. */
#define SPILL_CONNECTIONS_MAX 16

static bool pick_spill_target(front_t *front, const front_request_t *req,
			      char name[GH_NAME_MAX + 1], char **address);
static unsigned *spills_in_flight_to(front_core_t *core, const char *entry);
static gh_send_result_t forward_request(front_t *front, front_request_t *req,
					const char *address,
					http_response_t *response);
static bool take_response(front_request_t *req, gh_send_result_t result,
			  http_response_t *response, front_reply_t *reply);
static const char *normalize_outcome(const char *outcome);

bool front_spill(front_t *front, front_request_t *req, front_reply_t *reply)
{
	char name[GH_NAME_MAX + 1];
	char *address;
	http_response_t response;
	gh_send_result_t result;
	bool replied;

	if (req->forwarded_by || !pick_spill_target(front, req, name, &address))
		return false;
	counter_inc(CTR_REQ_SPILLED);
	result = forward_request(front, req, address, &response);
	pthread_mutex_lock(&front->core.lock);
	(*spills_in_flight_to(&front->core, name))--;
	pthread_mutex_unlock(&front->core.lock);
	replied = take_response(req, result, &response, reply);
	http_response_clear(&response);
	g_free(address);
	return replied;
}

/*
 * Picks a ready entry host of another failure domain and counts the request
 * as in flight there.  On success sets *address, which the caller frees.
 */
static bool pick_spill_target(front_t *front, const front_request_t *req,
			      char name[GH_NAME_MAX + 1], char **address)
{
	const gh_document_t *doc = req->doc;
	gh_route_spill_target_t *targets =
		g_new0(gh_route_spill_target_t, doc->n_entries);
	gh_handle_t service = gh_document_service(doc, req->service);
	bool is_batch = doc->services[service].class == GH_CLASS_BATCH;
	gh_handle_t self = gh_document_entry(doc, front->node->settings->name);
	const gh_entry_t *entry;
	size_t n = 0;
	size_t i;

	pthread_mutex_lock(&front->core.lock);
	for (i = 0; i < doc->n_entries && self != GH_HANDLE_NONE; i++) {
		peer_view_t view = { 0 };

		entry = &doc->entries[i];
		if (entry->domain == doc->entries[self].domain ||
		    entry->state != GH_HOST_ACTIVE ||
		    !peer_view(front->node->peer, entry->name, &view) ||
		    !view.alive || !view.ready || view.leaving)
			continue;
		targets[n++] = (gh_route_spill_target_t){
			.entry = (gh_handle_t)i,
			.spare_slots = is_batch ? view.spare_batch :
						  view.spare_latency,
			.in_flight =
				*spills_in_flight_to(&front->core, entry->name),
		};
	}
	i = gh_route_pick_spill_target(targets, n, doc->policy.spill_percent,
				       &front->core.random_seed);
	if (i < n) {
		entry = &doc->entries[targets[i].entry];
		(*spills_in_flight_to(&front->core, entry->name))++;
		g_strlcpy(name, entry->name, GH_NAME_MAX + 1);
		*address = g_strdup_printf("%s:%u", entry->address,
					   entry->front_port);
	}
	pthread_mutex_unlock(&front->core.lock);
	g_free(targets);
	return i < n;
}

/*
 * Returns a pointer to the number of requests forwarded to the entry host and
 * still in flight.
 */
static unsigned *spills_in_flight_to(front_core_t *core, const char *entry)
{
	unsigned *count = g_hash_table_lookup(core->spills_in_flight, entry);

	if (!count) {
		count = g_new0(unsigned, 1);
		g_hash_table_insert(core->spills_in_flight, g_strdup(entry),
				    count);
	}
	return count;
}

static gh_send_result_t forward_request(front_t *front, front_request_t *req,
					const char *address,
					http_response_t *response)
{
	GPtrArray *headers = g_ptr_array_new_with_free_func(g_free);
	gh_send_result_t result;
	size_t i;
	executor_call_t call = {
		.address = address,
		.method = req->method,
		.path = req->path,
		.request_id = req->send_id,
		.body = req->body_len ? req->body : NULL,
		.body_len = req->body_len,
		.deadline = req->retry.deadline,
		.idempotent = req->retry.idempotent,
		.max_idle_connections = SPILL_CONNECTIONS_MAX,
	};

	snprintf(req->send_id, sizeof(req->send_id), "%s-%" PRIx64 "-%" PRIx64,
		 front->node->settings->name,
		 peer_incarnation(front->node->peer),
		 atomic_fetch_add(&front->next_id, 1));
	g_ptr_array_add(headers, g_strdup_printf("X-Forwarded-By: %s",
						 front->node->settings->name));
	for (i = 0; req->forwarded_headers->pdata[i]; i++)
		g_ptr_array_add(headers,
				g_strdup(req->forwarded_headers->pdata[i]));
	g_ptr_array_add(headers, NULL);
	call.headers = (const char *const *)headers->pdata;
	result = front->spill_link->ops->send(front->spill_link, &call,
					      response);
	g_ptr_array_unref(headers);
	return result;
}

/*
 * Fills the reply from the result of a forwarded request.  Returns false,
 * without a reply, if the request cannot have run: it was not sent, or the
 * outcome is "not_run".
 */
static bool take_response(front_request_t *req, gh_send_result_t result,
			  http_response_t *response, front_reply_t *reply)
{
	const char *outcome;

	if (result == GH_SEND_UNSENT || result == GH_SEND_REFUSED)
		return false;
	req->retry.written = true;
	if (result != GH_SEND_COMPLETED) {
		front_refuse(reply, req,
			     req->retry.idempotent ? GH_E_TIMEOUT :
						     GH_E_OUTCOME_UNKNOWN,
			     0, req->service);
		return true;
	}
	outcome = http_response_header(response, "x-outcome");
	if (outcome && !strcmp(outcome, "not_run")) {
		req->retry.written = false;
		return false;
	}
	front_reply_take_response(reply, response, normalize_outcome(outcome));
	return true;
}

/* A missing or unexpected X-Outcome counts as "unknown". */
static const char *normalize_outcome(const char *outcome)
{
	return outcome && !strcmp(outcome, "done") ? "done" : "unknown";
}
