#include "front_internal.h"

#include <inttypes.h>
#include <string.h>

#include "clock.h"
#include "counter.h"
#include "node.h"
#include "peer.h"

#define SPILL_CONNECTIONS 16 /* idle ones kept to one entry host */

static bool pick_entry(front_t *front, const front_request_t *req,
		       char name[GH_NAME_MAX + 1], char **address);
static unsigned *sent_to(front_core_t *core, const char *entry);
static gh_send_result_t pass_on(front_t *front, front_request_t *req,
				const char *address, http_answer_t *answer);
static bool take_outcome(front_request_t *req, gh_send_result_t how,
			 http_answer_t *answer, front_reply_t *reply);
static const char *known_outcome(const char *outcome);

bool front_spill(front_t *front, front_request_t *req, front_reply_t *reply)
{
	char name[GH_NAME_MAX + 1];
	char *address;
	http_answer_t answer;
	gh_send_result_t how;
	bool taken;

	if (req->forwarded_by || !pick_entry(front, req, name, &address))
		return false;
	counter_inc(CTR_REQ_SPILLED);
	how = pass_on(front, req, address, &answer);
	pthread_mutex_lock(&front->core.lock);
	(*sent_to(&front->core, name))--;
	pthread_mutex_unlock(&front->core.lock);
	taken = take_outcome(req, how, &answer, reply);
	http_answer_clear(&answer);
	g_free(address);
	return taken;
}

static bool pick_entry(front_t *front, const front_request_t *req,
		       char name[GH_NAME_MAX + 1], char **address)
{
	const gh_document_t *doc = req->doc;
	gh_route_spill_target_t *spills =
		g_new0(gh_route_spill_target_t, doc->n_entries);
	gh_handle_t service = gh_document_service(doc, req->service);
	bool batch = doc->services[service].class == GH_CLASS_BATCH;
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
		spills[n++] = (gh_route_spill_target_t){
			.entry = (gh_handle_t)i,
			.spare_slots =
				batch ? view.spare_batch : view.spare_latency,
			.in_flight = *sent_to(&front->core, entry->name),
		};
	}
	i = gh_route_pick_spill_target(spills, n, doc->policy.spill_percent,
				       &front->core.seed);
	if (i < n) {
		entry = &doc->entries[spills[i].entry];
		(*sent_to(&front->core, entry->name))++;
		g_strlcpy(name, entry->name, GH_NAME_MAX + 1);
		*address = g_strdup_printf("%s:%u", entry->address,
					   entry->front_port);
	}
	pthread_mutex_unlock(&front->core.lock);
	g_free(spills);
	return i < n;
}

static unsigned *sent_to(front_core_t *core, const char *entry)
{
	unsigned *count = g_hash_table_lookup(core->spilled, entry);

	if (!count) {
		count = g_new0(unsigned, 1);
		g_hash_table_insert(core->spilled, g_strdup(entry), count);
	}
	return count;
}

static gh_send_result_t pass_on(front_t *front, front_request_t *req,
				const char *address, http_answer_t *answer)
{
	GPtrArray *headers = g_ptr_array_new_with_free_func(g_free);
	gh_send_result_t how;
	size_t i;
	executor_call_t call = {
		.address = address,
		.method = req->method,
		.path = req->path,
		.id = req->id,
		.body = req->body_len ? req->body : NULL,
		.body_len = req->body_len,
		.deadline = req->retry.deadline,
		.idempotent = req->retry.idempotent,
		.connections = SPILL_CONNECTIONS,
	};

	snprintf(req->id, sizeof(req->id), "%s-%" PRIx64 "-%" PRIx64,
		 front->node->settings->name,
		 peer_incarnation(front->node->peer),
		 atomic_fetch_add(&front->next_id, 1));
	g_ptr_array_add(headers, g_strdup_printf("X-Forwarded-By: %s",
						 front->node->settings->name));
	for (i = 0; req->headers->pdata[i]; i++)
		g_ptr_array_add(headers, g_strdup(req->headers->pdata[i]));
	g_ptr_array_add(headers, NULL);
	call.headers = (const char *const *)headers->pdata;
	how = front->spill_link->ops->send(front->spill_link, &call, answer);
	g_ptr_array_unref(headers);
	return how;
}

/*
 * Only an outcome of "not_run", or nothing sent, leaves the request to be
 * served here.
 */
static bool take_outcome(front_request_t *req, gh_send_result_t how,
			 http_answer_t *answer, front_reply_t *reply)
{
	const char *outcome;

	if (how == GH_SEND_UNSENT || how == GH_SEND_REFUSED)
		return false;
	req->retry.written = true;
	if (how != GH_SEND_COMPLETED) {
		front_refuse(reply, req,
			     req->retry.idempotent ? GH_E_TIMEOUT :
						     GH_E_OUTCOME_UNKNOWN,
			     0, req->service);
		return true;
	}
	outcome = http_answer_header(answer, "x-outcome");
	if (outcome && !strcmp(outcome, "not_run")) {
		req->retry.written = false;
		return false;
	}
	front_take_answer(reply, answer, known_outcome(outcome));
	return true;
}

static const char *known_outcome(const char *outcome)
{
	return outcome && !strcmp(outcome, "done") ? "done" : "unknown";
}
