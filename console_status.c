#include "console_status.h"

#include "clock.h"

json_t *console_status_json(node_t *node)
{
	gh_document_t *doc = node_document(node);
	json_t *json = json_pack(
		"{s:s, s:s, s:I, s:b, s:b, s:I, s:{s:b}}", "name",
		node->settings->name, "domain", node->settings->domain,
		"generation", (json_int_t)(doc ? doc->generation : 0), "ready",
		(int)front_ready(node->front), "draining",
		(int)node_is_draining(node), "uptime_ms",
		(json_int_t)gh_time_to_ms(clock_boot() - node->started),
		"store", "reachable", (int)store_reachable(node->store));

	json_object_set_new(json, "front", front_status(node->front));
	json_object_set_new(json, "peers", peer_status(node->peer));
	json_object_set_new(json, "shards", shard_status(node->shards));
	gh_document_unref(doc);
	return json;
}
