/*
 * Network fault injector: relays TCP connections and UDP datagrams over named
 * links.  A link can delay traffic, block it in one or both directions, reset
 * connections, or discard the traffic of existing connections while new ones
 * work.  Control calls:
 *
 *   {"link":"NAME","mode":"cut"}   sets the mode of one link; without "link",
 *                                  of all links
 *   {"delay_ms":N}                 delay of mode "delay"
 *   {"from":["IP",...]}            limits the mode to callers at these
 *                                  addresses; [] applies it to all
 *   {"add":{"name","listen","to","udp"}}
 *                                  adds a link
 *
 * The keys of one call are applied in their order.
 */
#include <argtable2.h>
#include <errno.h>
#include <poll.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "fake.h"

#define LINKS_MAX 128
#define MODE_CALLERS_MAX 32
#define CHUNK_BYTES 16384
#define POLL_MS 20
#define STACK_BYTES (256u * 1024)

typedef enum link_mode {
	MODE_PASS,
	MODE_DELAY,
	MODE_CUT,      /* blocks both directions and new connections */
	MODE_CUT_BACK, /* blocks traffic from the target to the caller */
	MODE_RESET,    /* resets connections */
	MODE_SILENT /* discards data of existing connections, not of new ones */
} link_mode_t;

static const char *const mode_names[] = { "pass",     "delay", "cut",
					  "cut_back", "reset", "silent" };

typedef struct link {
	char *name;
	struct sockaddr_in listen_on;
	struct sockaddr_in target;
	bool udp;
	int fd;
	int mode;	  /* of type link_mode_t, atomic */
	int silent_count; /* times mode "silent" was set on the link, atomic */
	int64_t delay_ms; /* delay of mode "delay", atomic */
	/* Callers that the mode applies to, ended by 0; none: all.  Atomic. */
	uint32_t mode_callers[MODE_CALLERS_MAX + 1];
	int64_t passed_bytes;  /* bytes relayed, atomic */
	int64_t dropped_bytes; /* bytes discarded, atomic */
} link_t;

typedef struct relay {
	const fake_ops_t *ops;
	pthread_mutex_t lock;
	link_t links[LINKS_MAX];
	size_t n_links;
	link_t *selected; /* link named in the control call; NULL: all links */
} relay_t;

/* One TCP connection, or one UDP caller. */
typedef struct flow {
	link_t *link;
	struct sockaddr_in caller;
	int caller_fd;
	int target_fd;
	int silent_count; /* silent_count of the link when the flow began */
} flow_t;

static bool set(void *self, const char *key, const json_t *value);
static json_t *show(void *self, const fake_request_t *req);
static void serve(void *self, const fake_request_t *req, fake_reply_t *reply);
static bool add_link(relay_t *relay, const char *name, const char *listen_on,
		     const char *to, bool udp);
static bool add_link_spec(relay_t *relay, const char *spec, bool udp);
static void *tcp_main(void *arg);
static void *udp_main(void *arg);
static void *flow_main(void *arg);
static void *udp_return_main(void *arg);
static void start_thread(void *(*run)(void *), void *arg);
static bool forward_chunk(flow_t *flow, int from, int to, bool to_caller);
static link_mode_t effective_mode(link_t *link,
				  const struct sockaddr_in *caller,
				  int silent_count);
static bool mode_applies_to(link_t *link, const struct sockaddr_in *caller);
static bool wait_for_mode(flow_t *flow, bool to_caller, bool *discard);
static void set_reset_on_close(int fd);
static flow_t *get_udp_flow(link_t *link, GHashTable *flows,
			    const struct sockaddr_in *caller);
static void set_link_option(link_t *link, const char *key, const json_t *value);
static void set_mode_callers(link_t *link, const json_t *list);

static const fake_ops_t ops = { .serve = serve,
				.set_control = set,
				.get_state = show };

int main(int argc, char **argv)
{
	struct arg_str *listen_on =
		arg_str0(NULL, "listen", "IP:PORT", "listen address of a link");
	struct arg_str *to =
		arg_str0(NULL, "to", "IP:PORT", "target address of the link");
	struct arg_lit *udp = arg_lit0(NULL, "udp", "the link carries UDP");
	struct arg_str *tcp_links =
		arg_strn(NULL, "link", "NAME=IP:PORT>IP:PORT", 0, LINKS_MAX,
			 "TCP links");
	struct arg_str *udp_links =
		arg_strn(NULL, "udp-link", "NAME=IP:PORT>IP:PORT", 0, LINKS_MAX,
			 "UDP links");
	struct arg_str *ctl =
		arg_str1(NULL, "ctl", "IP:PORT", "address of control calls");
	struct arg_end *end = arg_end(4);
	void *table[] = { listen_on, to, udp, tcp_links, udp_links, ctl, end };
	static relay_t relay = { .ops = &ops };
	bool ok = true;
	int i;

	if (arg_parse(argc, argv, table)) {
		arg_print_errors(stderr, end, argv[0]);
		return 2;
	}
	pthread_mutex_init(&relay.lock, NULL);
	if (listen_on->count && to->count)
		ok = add_link(&relay, "link", listen_on->sval[0], to->sval[0],
			      udp->count > 0);
	for (i = 0; ok && i < tcp_links->count; i++)
		ok = add_link_spec(&relay, tcp_links->sval[i], false);
	for (i = 0; ok && i < udp_links->count; i++)
		ok = add_link_spec(&relay, udp_links->sval[i], true);
	if (!ok)
		return 2;
	return fake_serve((fake_t *)&relay, ctl->sval[0], 0);
}

static bool add_link_spec(relay_t *relay, const char *spec, bool udp)
{
	char **name = g_strsplit(spec, "=", 2);
	char **addresses =
		g_strsplit(name[0] && name[1] ? name[1] : "", ">", 2);
	bool ok = addresses[0] && addresses[1] &&
		  add_link(relay, name[0], addresses[0], addresses[1], udp);

	g_strfreev(name);
	g_strfreev(addresses);
	return ok;
}

static bool add_link(relay_t *relay, const char *name, const char *listen_on,
		     const char *to, bool udp)
{
	link_t *link = &relay->links[relay->n_links];

	if (relay->n_links == LINKS_MAX ||
	    !fake_parse_address(listen_on, &link->listen_on) ||
	    !fake_parse_address(to, &link->target))
		return false;
	link->udp = udp;
	link->fd = fake_listen(&link->listen_on, udp);
	if (link->fd < 0)
		return false;
	link->name = g_strdup(name);
	relay->n_links++;
	start_thread(udp ? udp_main : tcp_main, link);
	return true;
}

static void start_thread(void *(*run)(void *), void *arg)
{
	pthread_attr_t attr;
	pthread_t thread;

	pthread_attr_init(&attr);
	pthread_attr_setstacksize(&attr, STACK_BYTES);
	pthread_attr_setdetachstate(&attr, PTHREAD_CREATE_DETACHED);
	if (pthread_create(&thread, &attr, run, arg))
		abort();
	pthread_attr_destroy(&attr);
}

static void *tcp_main(void *arg)
{
	link_t *link = arg;

	for (;;) {
		flow_t *flow = g_new0(flow_t, 1);
		socklen_t len = sizeof(flow->caller);

		flow->link = link;
		flow->caller_fd = accept(
			link->fd, (struct sockaddr *)&flow->caller, &len);
		/* The link's count is read only after accept(), as mode
		 * "silent" may be set while accept() waits. */
		flow->silent_count =
			__atomic_load_n(&link->silent_count, __ATOMIC_SEQ_CST);
		if (flow->caller_fd < 0)
			g_free(flow);
		else
			start_thread(flow_main, flow);
	}
	return NULL;
}

/* Connects to the target and relays bytes until one side closes. */
static void *flow_main(void *arg)
{
	flow_t *flow = arg;
	link_t *link = flow->link;
	struct pollfd fds[2];
	bool open = true;

	flow->target_fd = socket(AF_INET, SOCK_STREAM, 0);
	while (effective_mode(link, &flow->caller, flow->silent_count) ==
	       MODE_CUT)
		fake_sleep_ms(POLL_MS);
	if (connect(flow->target_fd, (struct sockaddr *)&link->target,
		    sizeof(link->target)) < 0)
		open = false;
	while (open) {
		fds[0] = (struct pollfd){ .fd = flow->caller_fd,
					  .events = POLLIN };
		fds[1] = (struct pollfd){ .fd = flow->target_fd,
					  .events = POLLIN };
		if (effective_mode(link, &flow->caller, flow->silent_count) ==
		    MODE_RESET) {
			set_reset_on_close(flow->caller_fd);
			set_reset_on_close(flow->target_fd);
			break;
		}
		if (poll(fds, 2, POLL_MS) < 0)
			continue;
		if (fds[0].revents)
			open = forward_chunk(flow, flow->caller_fd,
					     flow->target_fd, false);
		if (open && fds[1].revents)
			open = forward_chunk(flow, flow->target_fd,
					     flow->caller_fd, true);
	}
	close(flow->caller_fd);
	close(flow->target_fd);
	g_free(flow);
	return NULL;
}

static void set_reset_on_close(int fd)
{
	struct linger linger = { .l_onoff = 1, .l_linger = 0 };

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
}

static link_mode_t
effective_mode(link_t *link, const struct sockaddr_in *caller, int silent_count)
{
	int mode = __atomic_load_n(&link->mode, __ATOMIC_SEQ_CST);

	if (!mode_applies_to(link, caller))
		return MODE_PASS;
	if (mode == MODE_SILENT &&
	    silent_count ==
		    __atomic_load_n(&link->silent_count, __ATOMIC_SEQ_CST))
		return MODE_PASS;
	return (link_mode_t)mode;
}

static bool mode_applies_to(link_t *link, const struct sockaddr_in *caller)
{
	uint32_t from =
		__atomic_load_n(&link->mode_callers[0], __ATOMIC_SEQ_CST);
	bool all = !from;
	size_t i;

	for (i = 0; from;
	     from = __atomic_load_n(&link->mode_callers[++i], __ATOMIC_SEQ_CST))
		if (from == caller->sin_addr.s_addr)
			return true;
	return all;
}

/*
 * Waits while the mode delays or blocks this direction.  Returns false when
 * the connection is to be reset; sets *discard when the data is to be dropped.
 */
static bool wait_for_mode(flow_t *flow, bool to_caller, bool *discard)
{
	link_t *link = flow->link;
	link_mode_t mode =
		effective_mode(link, &flow->caller, flow->silent_count);

	*discard = false;
	if (mode == MODE_DELAY)
		fake_sleep_ms(
			__atomic_load_n(&link->delay_ms, __ATOMIC_SEQ_CST));
	while (mode == MODE_CUT || (mode == MODE_CUT_BACK && to_caller)) {
		fake_sleep_ms(POLL_MS);
		mode = effective_mode(link, &flow->caller, flow->silent_count);
	}
	if (mode == MODE_SILENT)
		*discard = true;
	return mode != MODE_RESET;
}

static bool forward_chunk(flow_t *flow, int from, int to, bool to_caller)
{
	char buf[CHUNK_BYTES];
	bool discard;
	ssize_t sent = 0;
	ssize_t n;

	if (effective_mode(flow->link, &flow->caller, flow->silent_count) ==
		    MODE_CUT_BACK &&
	    to_caller) {
		fake_sleep_ms(POLL_MS);
		return true;
	}
	n = recv(from, buf, sizeof(buf), 0);
	if (n <= 0)
		return n < 0 && errno == EINTR;
	if (!wait_for_mode(flow, to_caller, &discard)) {
		set_reset_on_close(flow->caller_fd);
		set_reset_on_close(flow->target_fd);
		return false;
	}
	if (discard) {
		__atomic_add_fetch(&flow->link->dropped_bytes, n,
				   __ATOMIC_SEQ_CST);
		return true;
	}
	while (sent < n) {
		ssize_t m =
			send(to, buf + sent, (size_t)(n - sent), MSG_NOSIGNAL);

		if (m <= 0)
			return false;
		sent += m;
	}
	__atomic_add_fetch(&flow->link->passed_bytes, n, __ATOMIC_SEQ_CST);
	return true;
}

static void *udp_main(void *arg)
{
	link_t *link = arg;
	GHashTable *flows = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						  g_free, NULL);
	char buf[65536];

	for (;;) {
		struct sockaddr_in caller = { 0 };
		socklen_t len = sizeof(caller);
		ssize_t n = recvfrom(link->fd, buf, sizeof(buf), 0,
				     (struct sockaddr *)&caller, &len);
		bool discard;
		flow_t *flow;

		if (n < 0)
			continue;
		flow = get_udp_flow(link, flows, &caller);
		if (effective_mode(link, &caller, flow->silent_count) ==
			    MODE_CUT ||
		    effective_mode(link, &caller, flow->silent_count) ==
			    MODE_RESET ||
		    !wait_for_mode(flow, false, &discard) || discard) {
			__atomic_add_fetch(&link->dropped_bytes, n,
					   __ATOMIC_SEQ_CST);
			continue;
		}
		if (send(flow->target_fd, buf, (size_t)n, MSG_NOSIGNAL) == n)
			__atomic_add_fetch(&link->passed_bytes, n,
					   __ATOMIC_SEQ_CST);
	}
	return NULL;
}

static flow_t *get_udp_flow(link_t *link, GHashTable *flows,
			    const struct sockaddr_in *caller)
{
	uint64_t id =
		((uint64_t)caller->sin_addr.s_addr << 16) | caller->sin_port;
	flow_t *flow = g_hash_table_lookup(flows, &id);

	if (flow)
		return flow;
	flow = g_new0(flow_t, 1);
	flow->link = link;
	flow->caller = *caller;
	flow->caller_fd = link->fd;
	flow->silent_count =
		__atomic_load_n(&link->silent_count, __ATOMIC_SEQ_CST);
	flow->target_fd = socket(AF_INET, SOCK_DGRAM, 0);
	if (connect(flow->target_fd, (struct sockaddr *)&link->target,
		    sizeof(link->target)) < 0)
		perror("connect");
	g_hash_table_insert(flows, g_memdup2(&id, sizeof(id)), flow);
	start_thread(udp_return_main, flow);
	return flow;
}

static void *udp_return_main(void *arg)
{
	flow_t *flow = arg;
	link_t *link = flow->link;
	char buf[65536];

	for (;;) {
		ssize_t n = recv(flow->target_fd, buf, sizeof(buf), 0);
		link_mode_t mode =
			effective_mode(link, &flow->caller, flow->silent_count);

		if (n < 0)
			continue;
		if (mode == MODE_DELAY)
			fake_sleep_ms(__atomic_load_n(&link->delay_ms,
						      __ATOMIC_SEQ_CST));
		else if (mode != MODE_PASS)
			continue;
		sendto(flow->caller_fd, buf, (size_t)n, MSG_NOSIGNAL,
		       (struct sockaddr *)&flow->caller, sizeof(flow->caller));
	}
	return NULL;
}

static void serve(void *self, const fake_request_t *req, fake_reply_t *reply)
{
	(void)self;
	(void)req;
	fake_reply_error(reply, 404, "no_such_call");
}

static bool set(void *self, const char *key, const json_t *value)
{
	relay_t *relay = self;
	const char *text = json_string_value(value);
	bool ok = true;
	size_t i;

	pthread_mutex_lock(&relay->lock);
	if (!strcmp(key, "link")) {
		relay->selected = NULL;
		for (i = 0; i < relay->n_links; i++)
			if (text && !strcmp(relay->links[i].name, text))
				relay->selected = &relay->links[i];
		ok = relay->selected != NULL;
	} else if (!strcmp(key, "add")) {
		ok = add_link(relay, fake_json_string(value, "name", ""),
			      fake_json_string(value, "listen", ""),
			      fake_json_string(value, "to", ""),
			      json_is_true(json_object_get(value, "udp")));
	} else if (!strcmp(key, "mode") &&
		   fake_find_name(text, mode_names, G_N_ELEMENTS(mode_names)) <
			   0) {
		ok = false;
	} else {
		for (i = 0; i < relay->n_links; i++)
			if (!relay->selected ||
			    relay->selected == &relay->links[i])
				set_link_option(&relay->links[i], key, value);
	}
	pthread_mutex_unlock(&relay->lock);
	return ok;
}

static void set_link_option(link_t *link, const char *key, const json_t *value)
{
	const char *text = json_string_value(value);
	int mode;

	if (!strcmp(key, "delay_ms"))
		__atomic_store_n(&link->delay_ms, json_integer_value(value),
				 __ATOMIC_SEQ_CST);
	if (!strcmp(key, "from"))
		set_mode_callers(link, value);
	if (!strcmp(key, "mode")) {
		mode = fake_find_name(text, mode_names,
				      G_N_ELEMENTS(mode_names));
		if (mode == MODE_SILENT)
			__atomic_add_fetch(&link->silent_count, 1,
					   __ATOMIC_SEQ_CST);
		__atomic_store_n(&link->mode, mode, __ATOMIC_SEQ_CST);
	}
}

static void set_mode_callers(link_t *link, const json_t *list)
{
	struct in_addr addr;
	size_t n = 0;
	json_t *item;
	size_t i;

	json_array_foreach(list, i, item)
	{
		if (n == MODE_CALLERS_MAX ||
		    inet_pton(AF_INET, json_string_value(item), &addr) != 1)
			continue;
		__atomic_store_n(&link->mode_callers[n++], addr.s_addr,
				 __ATOMIC_SEQ_CST);
	}
	__atomic_store_n(&link->mode_callers[n], 0, __ATOMIC_SEQ_CST);
}

static json_t *show(void *self, const fake_request_t *req)
{
	relay_t *relay = self;
	json_t *out = json_object();
	size_t i;

	(void)req;
	pthread_mutex_lock(&relay->lock);
	relay->selected = NULL;
	for (i = 0; i < relay->n_links; i++) {
		link_t *link = &relay->links[i];

		json_object_set_new(out, link->name,
				    json_pack("{s:s,s:I,s:I}", "mode",
					      mode_names[link->mode], "passed",
					      (json_int_t)link->passed_bytes,
					      "dropped",
					      (json_int_t)link->dropped_bytes));
	}
	pthread_mutex_unlock(&relay->lock);
	return out;
}
