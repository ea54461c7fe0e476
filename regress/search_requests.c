/*
 * Model of the request path for the fault search: entry hosts of two failure
 * domains with real claim tables and slot credits, executors, callers that
 * repeat, and the messages between them.
 */
#include "search.h"

#include <stdio.h>
#include <string.h>

#include "core_claim.h"
#include "core_credit.h"
#include "core_document.h"

#define HOSTS 5
#define FIRST_DOMAIN 3 /* hosts of domain d0; the rest are in d1 */
#define DOMAINS 2
#define SLOTS 8
#define KEYS 4
#define REQUEST_MAX_MS 1000
#define WINDOW_MS 6000
#define GENERATIONS 24
#define JUNK_CLAIMS 100
#define STEP_SHORT_MS 50
#define STEP_LONG_MS 1000

typedef enum event_kind {
	EV_SEND,
	EV_DELIVER,
	EV_DUPLICATE,
	EV_DROP,
	EV_TIMEOUT,
	EV_TICK,
	EV_WAIT,
	EV_CRASH,
	EV_START,
	EV_FREEZE,
	EV_THAW,
	EV_DOCUMENT,
	EV_LEARN,
	EV_BEAT,
	EV_LOAD,
	EV_BORROW,
	EV_RETURN,
	EV_FINISH,
	EV_FILL
} event_kind_t;

static const search_kind_t kinds[] = {
	[EV_SEND] = { "send", 10 },	     [EV_DELIVER] = { "deliver", 80 },
	[EV_DUPLICATE] = { "duplicate", 3 }, [EV_DROP] = { "drop", 3 },
	[EV_TIMEOUT] = { "timeout", 5 },     [EV_TICK] = { "tick", 8 },
	[EV_WAIT] = { "wait", 3 },	     [EV_CRASH] = { "crash", 4 },
	[EV_START] = { "start", 5 },	     [EV_FREEZE] = { "freeze", 2 },
	[EV_THAW] = { "thaw", 3 },	     [EV_DOCUMENT] = { "document", 4 },
	[EV_LEARN] = { "learn", 8 },	     [EV_BEAT] = { "beat", 3 },
	[EV_LOAD] = { "load", 12 },	     [EV_BORROW] = { "borrow", 8 },
	[EV_RETURN] = { "return", 4 },	     [EV_FINISH] = { "finish", 15 },
	[EV_FILL] = { "fill", 1 },
};

typedef enum message_kind {
	MSG_SEND, /* of a caller, over a connection to one process */
	MSG_ASK,
	MSG_ANSWER,
	MSG_RELEASE,
	MSG_BEAT,
	MSG_WANT,
	MSG_LOAN,
	MSG_GIVE_BACK
} message_kind_t;

typedef struct message {
	message_kind_t kind;
	unsigned from;
	unsigned to;
	uint64_t process; /* of the sender, to which an answer belongs */
	uint64_t generation;
	unsigned key;
	unsigned number;     /* of a caller's sending */
	uint64_t attempt_id; /* of a claim, or id of a loan */
	gh_claim_status_t status;
	unsigned count;
	int64_t loan_ms;
	gh_time_t asked;
	unsigned domain; /* of the executor */
} message_t;

/* One sending of a key that a host is deciding about. */
typedef struct attempt {
	unsigned key;
	unsigned number;
	uint64_t id;
	gh_time_t deadline;
	gh_claim_status_t own;
	gh_claim_reply_t answers[HOSTS];
	size_t n_answers; /* asked so far */
	gh_handle_t order[HOSTS];
	size_t n_order;
} attempt_t;

typedef struct host {
	bool alive;
	bool frozen;
	uint64_t process;
	gh_document_t *doc;
	gh_claim_table_t *claims;
	gh_credit_t *credit;
	GArray *attempts; /* of attempt_t */
} host_t;

/* A request that an executor runs. */
typedef struct run {
	unsigned domain;
	unsigned host;
	uint64_t process;
	gh_credit_hold_t hold;
	gh_time_t ends;
} run_t;

typedef struct key {
	unsigned id;
	unsigned sent; /* sendings so far */
	gh_time_t first;
	unsigned runs;
	bool told_not_run; /* the last sending's answer */
} request_key_t;

typedef struct model {
	gh_time_t now;
	host_t hosts[HOSTS];
	gh_host_state_t states[HOSTS]; /* in the newest document */
	gh_document_t *docs[GENERATIONS];
	unsigned n_docs;
	GArray *messages; /* of message_t */
	GArray *runs;	  /* of run_t */
	request_key_t keys[KEYS];
	uint64_t next_id;
	const char *broken;
} model_t;

typedef void (*handler_t)(model_t *m, uint32_t a, uint32_t b);

static void *create(void);
static void destroy(void *model);
static const char *step(void *model, const search_event_t *event);
static gh_time_t ms_time(int64_t ms);
static request_key_t *find_key(model_t *m, unsigned id);
static gh_document_t *make_document(model_t *m);
static void start_host(model_t *m, unsigned h, gh_document_t *doc);
static void stop_host(host_t *host);
static bool is_up(const model_t *m, unsigned h);
static unsigned domain_of(unsigned h);
static const char *host_name(unsigned h);
static const char *executor_name(unsigned domain);
static gh_claim_key_t key_bytes(unsigned key);
static void post(model_t *m, message_t msg);
static void receive(model_t *m, const message_t *msg);
static void ask_next(model_t *m, unsigned h, attempt_t *at);
static void take_answer(model_t *m, const message_t *msg);
static void decide(model_t *m, unsigned h, size_t index, bool last);
static void dispatch(model_t *m, unsigned h, attempt_t *at);
static void refuse(model_t *m, unsigned h, const attempt_t *at,
		   gh_error_kind_t kind, bool ruled_out);
static void release(model_t *m, unsigned h, const attempt_t *at);
static bool begin_run(model_t *m, unsigned h, gh_time_t length);
static void advance(model_t *m, int64_t ms);
static void end_runs(model_t *m);
static void greet(model_t *m, unsigned h);

static void on_send(model_t *m, uint32_t a, uint32_t b);
static void on_deliver(model_t *m, uint32_t a, uint32_t b);
static void on_duplicate(model_t *m, uint32_t a, uint32_t b);
static void on_drop(model_t *m, uint32_t a, uint32_t b);
static void on_timeout(model_t *m, uint32_t a, uint32_t b);
static void on_tick(model_t *m, uint32_t a, uint32_t b);
static void on_wait(model_t *m, uint32_t a, uint32_t b);
static void on_crash(model_t *m, uint32_t a, uint32_t b);
static void on_start(model_t *m, uint32_t a, uint32_t b);
static void on_freeze(model_t *m, uint32_t a, uint32_t b);
static void on_thaw(model_t *m, uint32_t a, uint32_t b);
static void on_document(model_t *m, uint32_t a, uint32_t b);
static void on_learn(model_t *m, uint32_t a, uint32_t b);
static void on_beat(model_t *m, uint32_t a, uint32_t b);
static void on_load(model_t *m, uint32_t a, uint32_t b);
static void on_borrow(model_t *m, uint32_t a, uint32_t b);
static void on_return(model_t *m, uint32_t a, uint32_t b);
static void on_finish(model_t *m, uint32_t a, uint32_t b);
static void on_fill(model_t *m, uint32_t a, uint32_t b);

static const handler_t handlers[] = {
	[EV_SEND] = on_send,	       [EV_DELIVER] = on_deliver,
	[EV_DUPLICATE] = on_duplicate, [EV_DROP] = on_drop,
	[EV_TIMEOUT] = on_timeout,     [EV_TICK] = on_tick,
	[EV_WAIT] = on_wait,	       [EV_CRASH] = on_crash,
	[EV_START] = on_start,	       [EV_FREEZE] = on_freeze,
	[EV_THAW] = on_thaw,	       [EV_DOCUMENT] = on_document,
	[EV_LEARN] = on_learn,	       [EV_BEAT] = on_beat,
	[EV_LOAD] = on_load,	       [EV_BORROW] = on_borrow,
	[EV_RETURN] = on_return,       [EV_FINISH] = on_finish,
	[EV_FILL] = on_fill,
};

const search_model_t search_requests = {
	.name = "requests",
	.kinds = kinds,
	.n_kinds = G_N_ELEMENTS(kinds),
	.create = create,
	.destroy = destroy,
	.step = step,
};

static void *create(void)
{
	model_t *m = g_new0(model_t, 1);
	unsigned h;

	m->now = 100 * GH_USEC_PER_SEC;
	m->messages = g_array_new(FALSE, TRUE, sizeof(message_t));
	m->runs = g_array_new(FALSE, TRUE, sizeof(run_t));
	m->docs[0] = make_document(m);
	m->n_docs = 1;
	for (h = 0; h < HOSTS; h++)
		start_host(m, h, m->docs[0]);
	m->now += ms_time(2 * WINDOW_MS);
	return m;
}

static void destroy(void *model)
{
	model_t *m = model;
	unsigned i;

	for (i = 0; i < HOSTS; i++)
		stop_host(&m->hosts[i]);
	for (i = 0; i < m->n_docs; i++)
		gh_document_unref(m->docs[i]);
	g_array_free(m->messages, TRUE);
	g_array_free(m->runs, TRUE);
	g_free(m);
}

static const char *step(void *model, const search_event_t *event)
{
	model_t *m = model;
	unsigned busy[DOMAINS] = { 0 };
	guint i;

	handlers[event->kind](m, event->a, event->b);
	for (i = 0; i < m->runs->len; i++)
		busy[g_array_index(m->runs, run_t, i).domain]++;
	for (i = 0; i < DOMAINS; i++)
		if (busy[i] > SLOTS)
			m->broken = "an executor has more than its slots";
	for (i = 0; i < KEYS; i++) {
		if (m->keys[i].runs > 1)
			m->broken = "a request ran twice";
		if (m->keys[i].runs && m->keys[i].told_not_run)
			m->broken = "told not run, and it ran";
	}
	return m->broken;
}

static gh_document_t *make_document(model_t *m)
{
	static const char *const states[] = { "active", "leaving", "gone" };
	GString *text = g_string_new(NULL);
	gh_document_t *doc;
	GError *err = NULL;
	unsigned h;

	g_string_printf(text,
			"[policy]\nrequest_max_ms=%d\nclaim_window_ms=%d\n"
			"claim_max=100\n[department d]\nweight=1\n"
			"guarantee_percent=10\nlimit_percent=100\njobs_max=9\n"
			"[service s]\ndepartment=d\nclass=latency\n"
			"expected_ms=10\n[domain d0]\nregion=r\n"
			"[domain d1]\nregion=r\n",
			REQUEST_MAX_MS, WINDOW_MS);
	for (h = 0; h < HOSTS; h++)
		g_string_append_printf(
			text,
			"[entry %s]\ndomain=d%u\naddress=127.0.0.%u\n"
			"front_port=1\nconsole_port=2\npeer_port=3\n"
			"state=%s\n",
			host_name(h), domain_of(h), h + 1,
			states[m->states[h]]);
	for (h = 0; h < DOMAINS; h++)
		g_string_append_printf(
			text,
			"[executor %s]\ndomain=d%u\naddress=127.0.1.%u:1\n"
			"slots=%d\nconnections=64\nservices=s\n"
			"state=active\n",
			executor_name(h), h, h + 1, SLOTS);
	doc = gh_document_parse(text->str, text->len, m->n_docs + 1, &err);
	if (!doc)
		g_error("%s", err->message);
	g_string_free(text, TRUE);
	return doc;
}

static void start_host(model_t *m, unsigned h, gh_document_t *doc)
{
	host_t *host = &m->hosts[h];

	host->alive = true;
	host->frozen = false;
	host->process = ++m->next_id;
	host->claims = gh_claim_new(m->now);
	host->credit = gh_credit_new(host_name(h), m->now);
	host->attempts = g_array_new(FALSE, TRUE, sizeof(attempt_t));
	host->doc = doc;
	gh_claim_set_policy(host->claims, (size_t)doc->policy.claim_max,
			    doc->policy.claim_window_ms, m->now);
	gh_credit_tick(host->credit, m->now);
	gh_credit_apply(host->credit, doc, m->now);
}

static void stop_host(host_t *host)
{
	if (!host->alive)
		return;
	host->alive = false;
	gh_claim_free(host->claims);
	gh_credit_free(host->credit);
	g_array_free(host->attempts, TRUE);
}

static bool is_up(const model_t *m, unsigned h)
{
	return m->hosts[h].alive && !m->hosts[h].frozen;
}

static gh_time_t ms_time(int64_t ms)
{
	return gh_time_from_ms(ms);
}

static unsigned domain_of(unsigned h)
{
	return h < FIRST_DOMAIN ? 0 : 1;
}

static const char *host_name(unsigned h)
{
	static const char *const names[HOSTS] = { "e0", "e1", "e2", "e3",
						  "e4" };

	return names[h];
}

static const char *executor_name(unsigned domain)
{
	return domain ? "x1" : "x0";
}

static gh_claim_key_t key_bytes(unsigned key)
{
	gh_claim_key_t out = { { 0 } };

	memcpy(out.bytes, &key, sizeof(key));
	return out;
}

/* A caller sends a new key, or repeats one within the window. */
static void on_send(model_t *m, uint32_t a, uint32_t b)
{
	unsigned h = b % HOSTS;
	request_key_t *key = &m->keys[a % KEYS];
	message_t msg = { .kind = MSG_SEND, .to = h };

	if (!key->sent || m->now > key->first + 2 * ms_time(WINDOW_MS))
		*key = (request_key_t){ .id = (unsigned)++m->next_id,
					.first = m->now };
	if (m->now > key->first + ms_time(WINDOW_MS - 2 * REQUEST_MAX_MS))
		return;
	msg.key = key->id;
	msg.number = key->sent++;
	msg.process = m->hosts[h].process;
	key->told_not_run = false;
	msg.asked = m->now;
	if (m->hosts[h].alive)
		post(m, msg);
}

static request_key_t *find_key(model_t *m, unsigned id)
{
	static request_key_t lapsed;
	unsigned i;

	for (i = 0; i < KEYS; i++)
		if (m->keys[i].id == id)
			return &m->keys[i];
	lapsed = (request_key_t){ 0 };
	return &lapsed;
}

static void receive_send(model_t *m, const message_t *msg)
{
	unsigned h = msg->to;
	host_t *host = &m->hosts[h];
	attempt_t at = { .key = msg->key, .number = msg->number };
	gh_claim_request_t ask = { .key = key_bytes(at.key),
				   .holder = host_name(h),
				   .window_ms = WINDOW_MS };

	/* What a paused process finds in its sockets is too old to be run. */
	if (host->doc->entries[h].state != GH_HOST_ACTIVE ||
	    m->now > msg->asked + ms_time(2 * REQUEST_MAX_MS))
		return;
	at.id = ++m->next_id;
	at.deadline = m->now + ms_time(REQUEST_MAX_MS);
	ask.attempt_id = at.id;
	ask.generation = host->doc->generation;
	at.own = gh_claim_take(host->claims, &ask, m->now, NULL);
	at.n_order = at.number ? gh_claim_other_hosts(host->doc, (gh_handle_t)h,
						      at.order) :
				 gh_claim_second_hosts(
					 host->doc, (gh_handle_t)h, at.order);
	g_array_append_val(host->attempts, at);
	ask_next(m, h,
		 &g_array_index(host->attempts, attempt_t,
				host->attempts->len - 1));
	decide(m, h, host->attempts->len - 1, false);
}

/* Asks one more host for a first sending, else all of them. */
static void ask_next(model_t *m, unsigned h, attempt_t *at)
{
	do {
		gh_claim_reply_t *answer = &at->answers[at->n_answers];
		message_t msg = { .kind = MSG_ASK,
				  .from = h,
				  .process = m->hosts[h].process,
				  .generation = m->hosts[h].doc->generation,
				  .key = at->key,
				  .attempt_id = at->id };

		if (at->n_answers >= at->n_order)
			return;
		answer->entry = at->order[at->n_answers++];
		msg.to = answer->entry;
		post(m, msg);
	} while (at->number);
}

static void take_answer(model_t *m, const message_t *msg)
{
	host_t *host = &m->hosts[msg->to];
	guint i;
	size_t j;

	for (i = 0; i < host->attempts->len; i++) {
		attempt_t *at = &g_array_index(host->attempts, attempt_t, i);

		if (at->id != msg->attempt_id || m->now >= at->deadline)
			continue;
		for (j = 0; j < at->n_answers; j++)
			if (at->answers[j].entry == msg->from) {
				at->answers[j].replied = true;
				at->answers[j].status = msg->status;
			}
		decide(m, msg->to, i, false);
		return;
	}
}

/* Decides about an attempt; without last only when all answers are there. */
static void decide(model_t *m, unsigned h, size_t index, bool last)
{
	host_t *host = &m->hosts[h];
	attempt_t at = g_array_index(host->attempts, attempt_t, (guint)index);
	gh_error_kind_t kind = GH_E_DEADLINE;
	bool waiting = false;
	bool may;
	size_t i;

	for (i = 0; i < at.n_answers; i++)
		waiting |= !at.answers[i].replied;
	if (waiting && !last)
		return;
	may = at.number ?
		      gh_claim_repeat_may_run(host->doc, (gh_handle_t)h, at.own,
					      at.answers, at.n_answers, &kind) :
		      gh_claim_first_may_run(host->doc, (gh_handle_t)h, at.own,
					     at.answers, at.n_answers, &kind);
	if (!may && !at.number && kind == GH_E_CLAIM_NO_PEER &&
	    at.n_answers < at.n_order) {
		ask_next(m, h,
			 &g_array_index(host->attempts, attempt_t,
					(guint)index));
		return;
	}
	g_array_remove_index(host->attempts, (guint)index);
	if (may && m->now < at.deadline)
		dispatch(m, h, &at);
	else
		refuse(m, h, &at, may ? GH_E_DEADLINE : kind, may);
}

static void dispatch(model_t *m, unsigned h, attempt_t *at)
{
	if (begin_run(m, h, ms_time(REQUEST_MAX_MS / 2)))
		find_key(m, at->key)->runs++;
	else
		refuse(m, h, at, GH_E_NO_EXECUTOR, true);
}

/* As the front does: a repeat says "not run" only when all is accounted for. */
static void refuse(model_t *m, unsigned h, const attempt_t *at,
		   gh_error_kind_t kind, bool ruled_out)
{
	request_key_t *key = find_key(m, at->key);

	release(m, h, at);
	if (at->number && !ruled_out)
		return;
	if (gh_error_ran(kind) == GH_RAN_NO && at->number + 1 == key->sent)
		key->told_not_run = true;
}

static void release(model_t *m, unsigned h, const attempt_t *at)
{
	gh_claim_key_t key = key_bytes(at->key);
	size_t i;

	gh_claim_release(m->hosts[h].claims, &key, at->id);
	for (i = 0; i < at->n_answers; i++) {
		message_t msg = { .kind = MSG_RELEASE,
				  .from = h,
				  .to = at->answers[i].entry,
				  .key = at->key,
				  .attempt_id = at->id };

		post(m, msg);
	}
}

static bool begin_run(model_t *m, unsigned h, gh_time_t length)
{
	host_t *host = &m->hosts[h];
	run_t run = { .domain = domain_of(h),
		      .host = h,
		      .process = host->process,
		      .ends = m->now + length };

	if (!gh_credit_ready(host->credit, m->now))
		return false;
	run.hold =
		gh_credit_take(host->credit, executor_name(run.domain), m->now);
	if (!run.hold)
		return false;
	g_array_append_val(m->runs, run);
	return true;
}

static void post(model_t *m, message_t msg)
{
	g_array_append_val(m->messages, msg);
}

static void on_deliver(model_t *m, uint32_t a, uint32_t b)
{
	message_t msg;
	guint i;

	(void)b;
	if (!m->messages->len)
		return;
	i = a % m->messages->len;
	msg = g_array_index(m->messages, message_t, i);
	if (m->hosts[msg.to].alive && m->hosts[msg.to].frozen)
		return;
	g_array_remove_index(m->messages, i);
	if (m->hosts[msg.to].alive)
		receive(m, &msg);
}

static void on_duplicate(model_t *m, uint32_t a, uint32_t b)
{
	message_t msg;

	(void)b;
	if (!m->messages->len)
		return;
	msg = g_array_index(m->messages, message_t, a % m->messages->len);
	if (msg.kind != MSG_SEND)
		post(m, msg);
}

static void on_drop(model_t *m, uint32_t a, uint32_t b)
{
	(void)b;
	if (m->messages->len)
		g_array_remove_index(m->messages, a % m->messages->len);
}

static void receive_ask(model_t *m, const message_t *msg)
{
	host_t *host = &m->hosts[msg->to];
	gh_claim_request_t ask = { .key = key_bytes(msg->key),
				   .attempt_id = msg->attempt_id,
				   .holder = host_name(msg->from),
				   .generation = msg->generation,
				   .window_ms = WINDOW_MS };
	message_t answer = *msg;

	answer.kind = MSG_ANSWER;
	answer.from = msg->to;
	answer.to = msg->from;
	answer.status = gh_claim_take_for_peer(host->claims, host->doc, &ask,
					       m->now, NULL);
	post(m, answer);
}

static void receive_want(model_t *m, const message_t *msg)
{
	host_t *host = &m->hosts[msg->to];
	gh_credit_loan_request_t ask = { .executor = executor_name(msg->domain),
					 .borrower = host_name(msg->from),
					 .generation = msg->generation,
					 .loan_id = msg->attempt_id,
					 .wanted = msg->count };
	message_t answer = *msg;

	if (!gh_credit_ready(host->credit, m->now))
		return;
	answer.kind = MSG_LOAN;
	answer.from = msg->to;
	answer.to = msg->from;
	answer.count =
		gh_credit_lend(host->credit, &ask, &answer.loan_ms, m->now);
	post(m, answer);
}

static void receive_loan(model_t *m, const message_t *msg)
{
	host_t *host = &m->hosts[msg->to];
	gh_credit_loan_t loan = { .executor = executor_name(msg->domain),
				  .lender = host_name(msg->from),
				  .generation = msg->generation,
				  .loan_id = msg->attempt_id,
				  .count = msg->count,
				  .loan_ms = msg->loan_ms,
				  .requested_at = msg->asked };

	gh_credit_record_loan(host->credit, &loan);
}

/* The answer to a call reaches only the process that made it, once. */
static void receive(model_t *m, const message_t *msg)
{
	host_t *host = &m->hosts[msg->to];
	gh_claim_key_t key = key_bytes(msg->key);

	switch (msg->kind) {
	case MSG_SEND:
		if (msg->process == host->process)
			receive_send(m, msg);
		break;
	case MSG_ASK:
		receive_ask(m, msg);
		break;
	case MSG_ANSWER:
		if (msg->process == host->process)
			take_answer(m, msg);
		break;
	case MSG_RELEASE:
		gh_claim_release(host->claims, &key, msg->attempt_id);
		break;
	case MSG_BEAT:
		if (m->hosts[msg->from].alive &&
		    msg->process == m->hosts[msg->from].process)
			gh_credit_set_peer_generation(host->credit,
						      host_name(msg->from),
						      msg->generation, m->now);
		break;
	case MSG_WANT:
		receive_want(m, msg);
		break;
	case MSG_LOAN:
		if (msg->process == host->process)
			receive_loan(m, msg);
		break;
	case MSG_GIVE_BACK:
		gh_credit_record_return(host->credit, host_name(msg->from),
					msg->attempt_id, msg->count);
		break;
	}
}

static void on_timeout(model_t *m, uint32_t a, uint32_t b)
{
	host_t *host = &m->hosts[a % HOSTS];

	if (is_up(m, a % HOSTS) && host->attempts->len)
		decide(m, a % HOSTS, b % host->attempts->len, true);
}

static void on_tick(model_t *m, uint32_t a, uint32_t b)
{
	(void)b;
	advance(m, a % STEP_SHORT_MS);
}

static void on_wait(model_t *m, uint32_t a, uint32_t b)
{
	(void)b;
	advance(m, a % STEP_LONG_MS * 2);
}

/* Lets time pass; every host that is up looks at its credits now and then. */
static void advance(model_t *m, int64_t ms)
{
	unsigned h;

	for (; ms > 0; ms -= STEP_SHORT_MS) {
		m->now += ms_time(MIN(ms, STEP_SHORT_MS));
		end_runs(m);
		for (h = 0; h < HOSTS; h++)
			if (is_up(m, h))
				gh_credit_tick(m->hosts[h].credit, m->now);
		for (h = 0; h < HOSTS; h++)
			if (is_up(m, h))
				greet(m, h);
	}
}

static void end_runs(model_t *m)
{
	guint i;

	for (i = m->runs->len; i-- > 0;)
		if (g_array_index(m->runs, run_t, i).ends <= m->now)
			on_finish(m, i, 0);
}

static void on_crash(model_t *m, uint32_t a, uint32_t b)
{
	(void)b;
	stop_host(&m->hosts[a % HOSTS]);
}

/* A new process takes the newest document, or that of another host. */
static void on_start(model_t *m, uint32_t a, uint32_t b)
{
	unsigned h = a % HOSTS;
	unsigned other = b % HOSTS;

	if (m->hosts[h].alive)
		return;
	if (b % 2 && is_up(m, other))
		start_host(m, h, m->hosts[other].doc);
	else
		start_host(m, h, m->docs[m->n_docs - 1]);
	greet(m, h);
}

/*
 * Hosts of one domain are not cut from each other: each hears the heartbeats
 * of the others that are up.
 */
static void greet(model_t *m, unsigned h)
{
	unsigned i;

	for (i = 0; i < HOSTS; i++) {
		if (i == h || domain_of(i) != domain_of(h) || !is_up(m, i))
			continue;
		gh_credit_set_peer_generation(m->hosts[i].credit, host_name(h),
					      m->hosts[h].doc->generation,
					      m->now);
		gh_credit_set_peer_generation(m->hosts[h].credit, host_name(i),
					      m->hosts[i].doc->generation,
					      m->now);
	}
}

static void on_freeze(model_t *m, uint32_t a, uint32_t b)
{
	(void)b;
	m->hosts[a % HOSTS].frozen = true;
}

static void on_thaw(model_t *m, uint32_t a, uint32_t b)
{
	(void)b;
	if (!m->hosts[a % HOSTS].alive || !m->hosts[a % HOSTS].frozen)
		return;
	m->hosts[a % HOSTS].frozen = false;
	gh_credit_tick(m->hosts[a % HOSTS].credit, m->now);
	greet(m, a % HOSTS);
}

/* A document that changes one host's state; "gone" only when it is dead. */
static void on_document(model_t *m, uint32_t a, uint32_t b)
{
	unsigned h = a % HOSTS;
	gh_host_state_t state = (gh_host_state_t)(b % 3);

	if (m->n_docs == GENERATIONS || m->states[h] == state ||
	    (state == GH_HOST_GONE && m->hosts[h].alive))
		return;
	m->states[h] = state;
	m->docs[m->n_docs] = make_document(m);
	m->n_docs++;
}

static void on_learn(model_t *m, uint32_t a, uint32_t b)
{
	host_t *host = &m->hosts[a % HOSTS];
	gh_document_t *doc = m->docs[m->n_docs - 1];

	(void)b;
	if (!is_up(m, a % HOSTS) || host->doc == doc)
		return;
	host->doc = doc;
	gh_claim_set_policy(host->claims, (size_t)doc->policy.claim_max,
			    doc->policy.claim_window_ms, m->now);
	gh_credit_apply(host->credit, doc, m->now);
}

static void on_beat(model_t *m, uint32_t a, uint32_t b)
{
	message_t msg = { .kind = MSG_BEAT,
			  .from = a % HOSTS,
			  .to = b % HOSTS };

	if (!is_up(m, msg.from) || msg.from == msg.to)
		return;
	msg.process = m->hosts[msg.from].process;
	msg.generation = m->hosts[msg.from].doc->generation;
	post(m, msg);
}

static void on_load(model_t *m, uint32_t a, uint32_t b)
{
	unsigned h = a % HOSTS;
	uint32_t n = b % SLOTS + 1;

	while (is_up(m, h) && n-- &&
	       begin_run(m, h, ms_time(b % REQUEST_MAX_MS + 1)))
		continue;
}

static void on_borrow(model_t *m, uint32_t a, uint32_t b)
{
	message_t msg = { .kind = MSG_WANT,
			  .from = a % HOSTS,
			  .to = b % HOSTS,
			  .count = b % 3 + 1,
			  .attempt_id = ++m->next_id,
			  .asked = m->now };

	msg.domain = domain_of(msg.from);
	if (!is_up(m, msg.from) || msg.from == msg.to ||
	    msg.domain != domain_of(msg.to))
		return;
	msg.process = m->hosts[msg.from].process;
	msg.generation = m->hosts[msg.from].doc->generation;
	post(m, msg);
}

static void on_return(model_t *m, uint32_t a, uint32_t b)
{
	host_t *host = &m->hosts[a % HOSTS];
	message_t msg = { .kind = MSG_GIVE_BACK, .from = a % HOSTS };
	gh_credit_return_t ret;

	if (!is_up(m, a % HOSTS) ||
	    !gh_credit_next_return(host->credit, b % 4 == 0, m->now, &ret))
		return;
	while (strcmp(host_name(msg.to), ret.lender) != 0)
		msg.to++;
	msg.attempt_id = ret.loan_id;
	msg.count = ret.count;
	post(m, msg);
}

/* A request ends; its host learns that, unless it is dead or frozen. */
static void on_finish(model_t *m, uint32_t a, uint32_t b)
{
	host_t *host;
	run_t run;

	(void)b;
	if (!m->runs->len)
		return;
	run = g_array_index(m->runs, run_t, a % m->runs->len);
	g_array_remove_index(m->runs, a % m->runs->len);
	host = &m->hosts[run.host];
	if (is_up(m, run.host) && host->process == run.process)
		gh_credit_done(host->credit, run.hold);
}

/* Fills a claim table with other keys. */
static void on_fill(model_t *m, uint32_t a, uint32_t b)
{
	unsigned h = a % HOSTS;
	gh_claim_request_t ask = { .holder = host_name(h),
				   .window_ms = WINDOW_MS };
	unsigned i;

	(void)b;
	for (i = 0; is_up(m, h) && i < JUNK_CLAIMS; i++) {
		ask.key = key_bytes((unsigned)++m->next_id);
		ask.attempt_id = ++m->next_id;
		gh_claim_take(m->hosts[h].claims, &ask, m->now, NULL);
	}
}
