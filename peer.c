/*
 * Entry hosts as seen by this one: heartbeats, incarnations and who is alive.
 * Contains the thread that drives the link.
 */
#include "peer.h"

#include <arpa/inet.h>
#include <errno.h>
#include <poll.h>
#include <string.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include "clock.h"
#include "counter.h"
#include "error.h"
#include "log.h"
#include "peer_private.h"

#define NO_DOCUMENT_TICK_USEC (200 * GH_USEC_PER_MSEC)
#define POLL_TIMEOUT_MS 50
#define RAISE_INCARNATION_MAX_USEC (60 * GH_USEC_PER_SEC)
#define LINKS_MAX 4096
#define BITS_PER_BYTE 8

/* A heartbeat being sent, with the storage that its arguments point to. */
typedef struct heartbeat_call {
	/* Must be the first member: freed through a peer_call_t *. */
	peer_call_t call;
	peer_shard shards[PEER_SHARDS_MAX];
	/* Bitmap of the entry hosts that this host receives from. */
	char heard[PEER_HEARD_MAX];
} heartbeat_call_t;

static bool open_client(peer_t *peer, GError **err);
static void *run_peer_thread(void *arg);
static void send_due_heartbeats(peer_t *peer, gh_time_t now);
static void send_heartbeat(peer_t *peer, const gh_document_t *doc,
			   gh_handle_t to);
static void log_liveness_changes(peer_t *peer, const gh_document_t *doc,
				 gh_time_t now);
static void send_heartbeats_to_all(peer_t *peer);
static peer_link_t *find_link(peer_t *peer, const char *name, bool add);
static void fill_heard_bitmap(peer_t *peer, const gh_document_t *doc,
			      peer_heartbeat *heartbeat);
static bool is_alive(peer_t *peer, const gh_document_t *doc, gh_handle_t entry,
		     gh_time_t now);
static bool relayed_recently(peer_t *peer, const gh_document_t *doc,
			     gh_handle_t entry, gh_time_t now);
static void record_relayed(peer_t *peer, const peer_heartbeat *heartbeat);
static bool received_recently(const peer_t *peer, const gh_document_t *doc,
			      gh_handle_t entry, gh_time_t now);
static void count_survey(peer_t *peer, const gh_document_t *doc,
			 uint64_t generation, gh_time_t since,
			 peer_survey_t *survey);
static json_t *view_to_json(const peer_view_t *view, gh_time_t now);

peer_t *peer_new(node_t *node)
{
	peer_t *peer = g_new0(peer_t, 1);

	peer->node = node;
	peer->created_at = clock_boot();
	atomic_init(&peer->incarnation, (uint64_t)clock_real());
	peer->server_fd = -1;
	peer->client_fd = -1;
	peer->wake_fd = -1;
	pthread_mutex_init(&peer->lock, NULL);
	clock_cond_init(&peer->received_cond);
	peer->links =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	peer_call_init(peer);
	return peer;
}

void peer_register(peer_t *peer, const peer_handlers_t *handlers, void *ctx)
{
	g_return_if_fail(peer->n_registrations < PEER_REGISTRATIONS_MAX);
	peer->registrations[peer->n_registrations++] = (peer_registration_t){
		.handlers = *handlers,
		.ctx = ctx,
	};
}

bool peer_start(peer_t *peer, GError **err)
{
	peer->wake_fd = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
	if (!open_client(peer, err) || !peer_serve_start(peer, err))
		return false;
	if (pthread_create(&peer->thread, NULL, run_peer_thread, peer)) {
		gh_error_set(err, GH_E_SYSTEM,
			     "cannot start the thread of the peer link");
		return false;
	}
	peer->started = true;
	return true;
}

void peer_stop(peer_t *peer)
{
	if (!peer->started)
		return;
	atomic_store(&peer->stop, true);
	eventfd_write(peer->wake_fd, 1);
	pthread_join(peer->thread, NULL);
	peer->started = false;
}

void peer_free(peer_t *peer)
{
	if (!peer)
		return;
	peer_stop(peer);
	peer_serve_stop(peer);
	if (peer->client_fd >= 0)
		close(peer->client_fd);
	if (peer->wake_fd >= 0)
		close(peer->wake_fd);
	peer_call_clear(peer);
	g_hash_table_unref(peer->links);
	pthread_mutex_destroy(&peer->lock);
	pthread_cond_destroy(&peer->received_cond);
	g_free(peer);
}

uint64_t peer_incarnation(const peer_t *peer)
{
	return atomic_load(&peer->incarnation);
}

bool peer_view(peer_t *peer, const char *entry, peer_view_t *view)
{
	gh_document_t *doc = node_document(peer->node);
	gh_handle_t handle =
		doc ? gh_document_entry(doc, entry) : GH_HANDLE_NONE;
	const peer_link_t *link;

	memset(view, 0, sizeof(*view));
	if (handle != GH_HANDLE_NONE) {
		pthread_mutex_lock(&peer->lock);
		link = find_link(peer, entry, false);
		if (link)
			*view = link->view;
		g_strlcpy(view->name, entry, sizeof(view->name));
		view->alive = is_alive(peer, doc, handle, clock_boot());
		pthread_mutex_unlock(&peer->lock);
	}
	gh_document_unref(doc);
	return handle != GH_HANDLE_NONE;
}

bool peer_shard_owner(peer_t *peer, const char *domain, uint32_t index,
		      char owner[GH_NAME_MAX + 1], uint64_t *epoch)
{
	GHashTableIter iter;
	gpointer value;
	size_t i;

	*epoch = 0;
	pthread_mutex_lock(&peer->lock);
	g_hash_table_iter_init(&iter, peer->links);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const peer_link_t *link = value;

		for (i = 0; i < link->n_shards; i++) {
			const peer_shard *shard = &link->shards[i];

			if (shard->index != index || shard->epoch <= *epoch ||
			    strcmp(link->domains[i], domain) != 0)
				continue;
			*epoch = shard->epoch;
			g_strlcpy(owner, link->member.name, GH_NAME_MAX + 1);
		}
	}
	pthread_mutex_unlock(&peer->lock);
	return *epoch != 0;
}

void peer_survey(peer_t *peer, const gh_document_t *doc, uint64_t generation,
		 gh_time_t deadline, peer_survey_t *survey)
{
	gh_time_t since = clock_boot();

	memset(survey, 0, sizeof(*survey));
	atomic_store(&peer->survey_requested, true);
	eventfd_write(peer->wake_fd, 1);
	pthread_mutex_lock(&peer->lock);
	do {
		count_survey(peer, doc, generation, since, survey);
		if (survey->replied == survey->hosts)
			break;
		clock_wait_until(&peer->received_cond, &peer->lock, deadline);
	} while (clock_boot() < deadline);
	pthread_mutex_unlock(&peer->lock);
}

json_t *peer_status(peer_t *peer)
{
	gh_document_t *doc = node_document(peer->node);
	json_t *list = json_array();
	size_t i;

	for (i = 0; doc && i < doc->n_entries; i++) {
		peer_view_t view;

		if (strcmp(doc->entries[i].name, peer->node->settings->name) !=
			    0 &&
		    peer_view(peer, doc->entries[i].name, &view))
			json_array_append_new(
				list, view_to_json(&view, clock_boot()));
	}
	gh_document_unref(doc);
	return list;
}

gh_accept_t peer_accept_head(peer_t *peer, const peer_head *head)
{
	peer_link_t *link = find_link(peer, head->from, true);
	gh_accept_t accept = GH_ACCEPT_STALE;

	if (link)
		accept = gh_member_accept(&link->member, head->incarnation,
					  head->sequence, clock_boot());
	if (!peer_accepted(accept)) {
		counter_inc(CTR_PEER_REPLAYED);
		return accept;
	}
	if (accept == GH_ACCEPT_RESTARTED) {
		memset(&link->view, 0, sizeof(link->view));
		link->n_shards = 0;
	}
	link->view.incarnation = head->incarnation;
	link->view.last_received = link->member.last_received;
	if (head->generation > link->view.generation)
		link->view.generation = head->generation;
	pthread_cond_broadcast(&peer->received_cond);
	if (peer->node->config)
		config_note_generation(peer->node->config, head->from,
				       head->generation);
	return accept;
}

bool peer_accepted(gh_accept_t accept)
{
	return accept == GH_ACCEPT_FRESH || accept == GH_ACCEPT_RESTARTED;
}

uint64_t peer_known_incarnation(peer_t *peer, const char *name)
{
	const peer_link_t *link;
	uint64_t known;

	pthread_mutex_lock(&peer->lock);
	link = find_link(peer, name, false);
	known = link ? link->member.incarnation : 0;
	pthread_mutex_unlock(&peer->lock);
	return known;
}

void peer_raise_incarnation(peer_t *peer, uint64_t known)
{
	uint64_t own = atomic_load(&peer->incarnation);

	/*
	 * The incarnation is raised only soon after the start of the process: a
	 * process that was paused while another took its place has to stay
	 * refused when it resumes.
	 */
	if (known <= own ||
	    clock_boot() - peer->created_at > RAISE_INCARNATION_MAX_USEC)
		return;
	atomic_store(&peer->incarnation, known + 1);
	counter_inc(CTR_PEER_INCARNATION_RAISED);
	log_event(LOG_WARN, "incarnation_raised", "from", log_num((int64_t)own),
		  "to", log_num((int64_t)known + 1), NULL);
}

void peer_handle_heartbeat(peer_t *peer, const peer_heartbeat *heartbeat)
{
	peer_link_t *link;
	size_t i;

	pthread_mutex_lock(&peer->lock);
	link = find_link(peer, heartbeat->head.from, false);
	if (link) {
		link->view.leaving = heartbeat->leaving;
		link->view.ready = heartbeat->ready;
		link->view.store_ok = heartbeat->store_ok;
		link->view.spare_latency = heartbeat->spare_latency;
		link->view.spare_batch = heartbeat->spare_batch;
		link->view.queued = heartbeat->queued;
		record_relayed(peer, heartbeat);
		link->n_shards = heartbeat->shards.shards_len;
		for (i = 0; i < link->n_shards; i++) {
			link->shards[i] = heartbeat->shards.shards_val[i];
			g_strlcpy(link->domains[i], link->shards[i].domain,
				  sizeof(link->domains[i]));
			link->shards[i].domain = link->domains[i];
		}
	}
	pthread_mutex_unlock(&peer->lock);
	for (i = 0; i < peer->n_registrations; i++)
		if (peer->registrations[i].handlers.handle_heartbeat)
			peer->registrations[i].handlers.handle_heartbeat(
				peer->registrations[i].ctx, heartbeat);
}

void peer_fill_heartbeat(peer_t *peer, peer_heartbeat *heartbeat,
			 peer_shard *shards, char heard[PEER_HEARD_MAX])
{
	gh_document_t *doc = node_document(peer->node);
	size_t i;

	memset(heartbeat, 0, sizeof(*heartbeat));
	heartbeat->leaving = node_is_draining(peer->node);
	heartbeat->store_ok = store_reachable(peer->node->store);
	heartbeat->shards.shards_val = shards;
	heartbeat->heard.heard_val = heard;
	if (doc)
		fill_heard_bitmap(peer, doc, heartbeat);
	gh_document_unref(doc);
	for (i = 0; i < peer->n_registrations; i++)
		if (peer->registrations[i].handlers.fill_heartbeat)
			peer->registrations[i].handlers.fill_heartbeat(
				peer->registrations[i].ctx, heartbeat);
}

static bool open_client(peer_t *peer, GError **err)
{
	const char *address = peer->node->settings->address;
	struct sockaddr_in local = { .sin_family = AF_INET };

	inet_pton(AF_INET, address, &local.sin_addr);
	peer->client_fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
	if (peer->client_fd >= 0 &&
	    !bind(peer->client_fd, (struct sockaddr *)&local, sizeof(local)))
		return true;
	gh_error_set(err, GH_E_SYSTEM, "cannot open a UDP socket on %s: %s",
		     address, g_strerror(errno));
	return false;
}

static void *run_peer_thread(void *arg)
{
	peer_t *peer = arg;

	while (!atomic_load(&peer->stop)) {
		struct pollfd fds[] = {
			{ .fd = peer->server_fd, .events = POLLIN },
			{ .fd = peer->client_fd, .events = POLLIN },
			{ .fd = peer->wake_fd, .events = POLLIN },
		};
		eventfd_t ignored;

		poll(fds, G_N_ELEMENTS(fds), POLL_TIMEOUT_MS);
		if (fds[2].revents)
			eventfd_read(peer->wake_fd, &ignored);
		if (fds[1].revents)
			peer_call_receive(peer);
		if (fds[0].revents)
			svc_getreq_common(peer->server_fd);
		if (atomic_exchange(&peer->survey_requested, false))
			send_heartbeats_to_all(peer);
		send_due_heartbeats(peer, clock_boot());
		peer_call_run_timers(peer, clock_boot());
	}
	return NULL;
}

static void send_due_heartbeats(peer_t *peer, gh_time_t now)
{
	gh_handle_t due[UINT8_MAX];
	gh_document_t *doc;
	gh_handle_t self;
	size_t n;
	size_t i;

	if (now < peer->next_tick)
		return;
	doc = node_document(peer->node);
	peer->next_tick =
		now + (doc ? gh_time_from_ms(doc->policy.heartbeat_ms) :
			     NO_DOCUMENT_TICK_USEC);
	if (!doc)
		return;
	self = gh_document_entry(doc, peer->node->settings->name);
	if (self != GH_HANDLE_NONE) {
		n = gh_domain_heartbeat_targets(doc, self, peer->tick++, due,
						G_N_ELEMENTS(due));
		for (i = 0; i < n; i++)
			send_heartbeat(peer, doc, due[i]);
		log_liveness_changes(peer, doc, now);
	}
	gh_document_unref(doc);
}

static void send_heartbeat(peer_t *peer, const gh_document_t *doc,
			   gh_handle_t to)
{
	heartbeat_call_t *message = g_new0(heartbeat_call_t, 1);

	g_strlcpy(message->call.entry, doc->entries[to].name,
		  sizeof(message->call.entry));
	message->call.proc = PEER_HEARTBEAT;
	message->call.deadline =
		clock_boot() + gh_time_from_ms(doc->policy.heartbeat_ms);
	peer_fill_heartbeat(peer, &message->call.args.heartbeat,
			    message->shards, message->heard);
	message->call.args.heartbeat.known_incarnation =
		peer_known_incarnation(peer, message->call.entry);
	peer_call_start_detached(peer, &message->call);
}

/* Sends the heartbeats of a peer_survey(), ahead of the next tick. */
static void send_heartbeats_to_all(peer_t *peer)
{
	gh_document_t *doc = node_document(peer->node);
	size_t i;

	for (i = 0; doc && i < doc->n_entries; i++)
		if (doc->entries[i].state != GH_HOST_GONE &&
		    strcmp(doc->entries[i].name, peer->node->settings->name) !=
			    0)
			send_heartbeat(peer, doc, (gh_handle_t)i);
	gh_document_unref(doc);
}

static void log_liveness_changes(peer_t *peer, const gh_document_t *doc,
				 gh_time_t now)
{
	size_t i;

	pthread_mutex_lock(&peer->lock);
	for (i = 0; i < doc->n_entries; i++) {
		peer_link_t *link =
			find_link(peer, doc->entries[i].name, false);
		bool alive = link && is_alive(peer, doc, (gh_handle_t)i, now);

		if (!link || alive == link->was_alive)
			continue;
		link->was_alive = alive;
		if (!alive)
			counter_inc(CTR_PEER_SUSPECTED);
		log_event(alive ? LOG_INFO : LOG_WARN,
			  alive ? "peer_alive" : "peer_suspect", "peer",
			  doc->entries[i].name, NULL);
	}
	pthread_mutex_unlock(&peer->lock);
}

/*
 * Looks up a host and adds it if requested.  NULL if it is absent, its name is
 * empty or the table is full.
 */
static peer_link_t *find_link(peer_t *peer, const char *name, bool add)
{
	peer_link_t *link = g_hash_table_lookup(peer->links, name);

	if (link || !add || g_hash_table_size(peer->links) >= LINKS_MAX ||
	    !*name)
		return link;
	link = g_new0(peer_link_t, 1);
	g_strlcpy(link->member.name, name, sizeof(link->member.name));
	g_hash_table_insert(peer->links, link->member.name, link);
	return link;
}

/*
 * Sets the bit of every entry host from which this host has recently received
 * messages.
 */
static void fill_heard_bitmap(peer_t *peer, const gh_document_t *doc,
			      peer_heartbeat *heartbeat)
{
	gh_time_t now = clock_boot();
	size_t i;

	pthread_mutex_lock(&peer->lock);
	for (i = 0; i < doc->n_entries && i < PEER_HEARD_MAX * BITS_PER_BYTE;
	     i++) {
		if (!received_recently(peer, doc, (gh_handle_t)i, now))
			continue;
		heartbeat->heard.heard_val[i / BITS_PER_BYTE] |=
			(char)(1 << i % BITS_PER_BYTE);
		heartbeat->heard.heard_len = (u_int)(i / BITS_PER_BYTE + 1);
	}
	pthread_mutex_unlock(&peer->lock);
}

static bool is_alive(peer_t *peer, const gh_document_t *doc, gh_handle_t entry,
		     gh_time_t now)
{
	return received_recently(peer, doc, entry, now) ||
	       relayed_recently(peer, doc, entry, now);
}

/*
 * Whether a host of the local domain recently reported that it receives
 * messages from entry.
 */
static bool relayed_recently(peer_t *peer, const gh_document_t *doc,
			     gh_handle_t entry, gh_time_t now)
{
	const peer_link_t *link =
		find_link(peer, doc->entries[entry].name, false);

	return link && link->relayed_at &&
	       doc->entries[entry].state != GH_HOST_GONE &&
	       now - link->relayed_at <=
		       gh_time_from_ms(doc->policy.suspect_ms);
}

/*
 * Records from which hosts the sender of a heartbeat receives messages; only
 * hosts with which this host does not regularly exchange heartbeats are
 * recorded.
 */
static void record_relayed(peer_t *peer, const peer_heartbeat *heartbeat)
{
	gh_document_t *doc = node_document(peer->node);
	gh_handle_t self = GH_HANDLE_NONE;
	gh_handle_t from = GH_HANDLE_NONE;
	size_t i;

	if (doc) {
		self = gh_document_entry(doc, peer->node->settings->name);
		from = gh_document_entry(doc, heartbeat->head.from);
	}
	/*
	 * The bitmap is ignored unless the sender has a document of the same
	 * generation: a handle stands for the same host only in documents of
	 * one generation.
	 */
	if (self == GH_HANDLE_NONE || from == GH_HANDLE_NONE ||
	    heartbeat->head.generation != doc->generation ||
	    doc->entries[from].domain != doc->entries[self].domain) {
		gh_document_unref(doc);
		return;
	}
	for (i = 0; i < doc->n_entries &&
		    i < heartbeat->heard.heard_len * BITS_PER_BYTE;
	     i++) {
		peer_link_t *link;

		if (!(heartbeat->heard.heard_val[i / BITS_PER_BYTE] >>
			      i % BITS_PER_BYTE &
		      1) ||
		    gh_domain_paired(doc, self, (gh_handle_t)i))
			continue;
		link = find_link(peer, doc->entries[i].name, true);
		if (link)
			link->relayed_at = clock_boot();
	}
	gh_document_unref(doc);
}

/* Whether this host recently received a message from entry. */
static bool received_recently(const peer_t *peer, const gh_document_t *doc,
			      gh_handle_t entry, gh_time_t now)
{
	const gh_entry_t *host = &doc->entries[entry];
	const peer_link_t *link = g_hash_table_lookup(peer->links, host->name);
	gh_handle_t self = gh_document_entry(doc, peer->node->settings->name);
	bool other_domain = self == GH_HANDLE_NONE ||
			    doc->entries[self].domain != host->domain;

	return link && host->state != GH_HOST_GONE &&
	       gh_member_alive(&link->member, &doc->policy, other_domain, now);
}

/*
 * Fills the survey: counts the hosts that sent a message since the given time,
 * and this host, and compares their generations.  The caller holds the lock.
 */
static void count_survey(peer_t *peer, const gh_document_t *doc,
			 uint64_t generation, gh_time_t since,
			 peer_survey_t *survey)
{
	size_t i;

	*survey = (peer_survey_t){ .hosts = 0 };
	for (i = 0; doc && i < doc->n_entries; i++) {
		const gh_entry_t *entry = &doc->entries[i];
		const peer_link_t *link = find_link(peer, entry->name, false);
		bool self = !strcmp(entry->name, peer->node->settings->name);
		uint64_t host_generation =
			self ? node_generation(peer->node) : 0;

		if (entry->state == GH_HOST_GONE)
			continue;
		survey->hosts++;
		if (!self && (!link || link->view.last_received < since))
			continue;
		if (!self)
			host_generation = link->view.generation;
		survey->replied++;
		survey->up_to_date += host_generation >= generation;
		if (host_generation <= survey->highest_generation)
			continue;
		survey->highest_generation = host_generation;
		g_strlcpy(survey->holder, entry->name, sizeof(survey->holder));
	}
}

static json_t *view_to_json(const peer_view_t *view, gh_time_t now)
{
	json_int_t age = view->incarnation ?
				 gh_time_to_ms(now - view->last_received) :
				 -1;

	return json_pack("{s:s, s:b, s:b, s:b, s:b, s:I, s:I, s:i, s:i, s:i}",
			 "name", view->name, "alive", view->alive, "leaving",
			 view->leaving, "ready", view->ready, "store_ok",
			 view->store_ok, "generation",
			 (json_int_t)view->generation, "heard_ms_ago", age,
			 "spare_latency", view->spare_latency, "spare_batch",
			 view->spare_batch, "queued", view->queued);
}
