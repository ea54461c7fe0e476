/*
 * Model of the request path for the fault search: entry hosts of two failure
 * domains with real claim tables and slot credits, one executor per domain,
 * callers that repeat requests, and the messages between them.  Messages are
 * lost, duplicated and delivered in any order; hosts crash, pause and change
 * their state.
 */
#include "search.h"

#include <stdio.h>
#include <string.h>

#include "core_claim.h"
#include "core_credit.h"
#include "core_document.h"

#define HOSTS 5
#define D0_HOSTS 3 /* number of hosts in domain d0; the rest are in d1 */
#define DOMAINS 2
#define SLOTS 8
#define KEYS 4
#define REQUEST_MAX_MS 1000
#define CLAIM_WINDOW_MS 6000
#define GENERATIONS_MAX 24
/* Number of claims that one EV_FILL_CLAIMS adds, enough to fill a claim table.
 */
#define FILL_CLAIMS 100
#define STEP_MS 50
#define HALF_WAIT_MAX_MS 1000

typedef enum event_kind {
	EV_SUBMIT,
	EV_DELIVER,
	EV_DUPLICATE,
	EV_DROP,
	EV_TIMEOUT, /* outstanding claim replies of an attempt time out */
	EV_TICK,    /* time advances by less than STEP_MS */
	EV_WAIT,    /* time advances by up to 2 * HALF_WAIT_MAX_MS */
	EV_CRASH,
	EV_START_HOST,
	EV_FREEZE,
	EV_THAW,
	EV_NEW_DOCUMENT,
	EV_ADOPT_DOCUMENT, /* a host applies the newest document */
	EV_HEARTBEAT,
	EV_START_RUNS, /* a host starts runs of requests that need no claim */
	EV_BORROW,
	EV_RETURN_LOAN,
	EV_FINISH_RUN,
	EV_FILL_CLAIMS
} event_kind_t;

static const search_event_kind_t kinds[] = {
	[EV_SUBMIT] = { "send", 10 },
	[EV_DELIVER] = { "deliver", 80 },
	[EV_DUPLICATE] = { "duplicate", 3 },
	[EV_DROP] = { "drop", 3 },
	[EV_TIMEOUT] = { "timeout", 5 },
	[EV_TICK] = { "tick", 8 },
	[EV_WAIT] = { "wait", 3 },
	[EV_CRASH] = { "crash", 4 },
	[EV_START_HOST] = { "start", 5 },
	[EV_FREEZE] = { "freeze", 2 },
	[EV_THAW] = { "thaw", 3 },
	[EV_NEW_DOCUMENT] = { "document", 4 },
	[EV_ADOPT_DOCUMENT] = { "learn", 8 },
	[EV_HEARTBEAT] = { "beat", 3 },
	[EV_START_RUNS] = { "load", 12 },
	[EV_BORROW] = { "borrow", 8 },
	[EV_RETURN_LOAN] = { "return", 4 },
	[EV_FINISH_RUN] = { "finish", 15 },
	[EV_FILL_CLAIMS] = { "fill", 1 },
};

typedef enum message_kind {
	MSG_SUBMISSION, /* from a caller, over a connection to one process */
	MSG_CLAIM,
	MSG_CLAIM_REPLY,
	MSG_CLAIM_RELEASE,
	MSG_HEARTBEAT,
	MSG_LOAN_REQUEST,
	MSG_LOAN,
	MSG_LOAN_RETURN
} message_kind_t;

typedef struct message {
	message_kind_t kind;
	unsigned from;
	unsigned to;
	/* Incarnation of the requester, or of the recipient of a submission. */
	uint64_t incarnation;
	uint64_t generation;
	unsigned key;
	unsigned submission; /* 0: first submission of the request; 1 and more:
				repeats */
	uint64_t attempt_id; /* id of the claim attempt, or of the loan */
	gh_claim_status_t status;
	unsigned count;
	int64_t loan_ms;
	gh_time_t sent_at;
	unsigned domain; /* failure domain of the executor */
} message_t;

/* A submission at one host whose decision waits for claim replies. */
typedef struct attempt {
	unsigned key;
	unsigned submission;
	uint64_t id;
	gh_time_t deadline;
	gh_claim_status_t own_status;
	gh_claim_reply_t replies[HOSTS];
	size_t n_asked; /* number of hosts that a claim request was sent to */
	gh_handle_t hosts_to_ask[HOSTS];
	size_t n_hosts_to_ask;
} attempt_t;

typedef struct host {
	bool alive;
	bool frozen;
	uint64_t incarnation;
	gh_document_t *doc;
	gh_claim_table_t *claims;
	gh_credit_t *credit;
	GArray *attempts; /* undecided attempts, of type attempt_t */
} host_t;

/* A request that runs on an executor. */
typedef struct run {
	unsigned domain;
	unsigned host;
	uint64_t incarnation;
	gh_credit_hold_t hold;
	gh_time_t end_time;
} run_t;

typedef struct request_key {
	unsigned id;
	unsigned submissions;
	gh_time_t first_sent;
	unsigned runs;
	bool reported_not_run; /* the request's last submission was refused as
				  "not run" */
} request_key_t;

typedef struct model {
	gh_time_t now;
	host_t hosts[HOSTS];
	gh_host_state_t states[HOSTS]; /* host states in the newest document */
	gh_document_t *docs[GENERATIONS_MAX];
	unsigned n_docs;
	GArray *messages; /* messages in flight, of type message_t */
	GArray *runs;	  /* requests that run on executors, of type run_t */
	request_key_t keys[KEYS];
	uint64_t next_id;
	const char *violation;
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
static unsigned host_domain(unsigned h);
static const char *host_name(unsigned h);
static const char *executor_name(unsigned domain);
static gh_claim_key_t make_claim_key(unsigned key);
static void post_message(model_t *m, message_t msg);
static void receive_message(model_t *m, const message_t *msg);
static void request_next_claims(model_t *m, unsigned h, attempt_t *attempt);
static void record_claim_reply(model_t *m, const message_t *msg);
static void decide_attempt(model_t *m, unsigned h, size_t index,
			   bool timed_out);
static void dispatch_attempt(model_t *m, unsigned h, attempt_t *attempt);
static void refuse_attempt(model_t *m, unsigned h, const attempt_t *attempt,
			   gh_error_kind_t refusal);
static void release_claims(model_t *m, unsigned h, const attempt_t *attempt);
static bool start_run(model_t *m, unsigned h, gh_time_t duration);
static void advance_time(model_t *m, int64_t ms);
static void finish_due_runs(model_t *m);
static void exchange_heartbeats(model_t *m, unsigned h);

static void on_submit(model_t *m, uint32_t a, uint32_t b);
static void on_deliver(model_t *m, uint32_t a, uint32_t b);
static void on_duplicate(model_t *m, uint32_t a, uint32_t b);
static void on_drop(model_t *m, uint32_t a, uint32_t b);
static void on_timeout(model_t *m, uint32_t a, uint32_t b);
static void on_tick(model_t *m, uint32_t a, uint32_t b);
static void on_wait(model_t *m, uint32_t a, uint32_t b);
static void on_crash(model_t *m, uint32_t a, uint32_t b);
static void on_start_host(model_t *m, uint32_t a, uint32_t b);
static void on_freeze(model_t *m, uint32_t a, uint32_t b);
static void on_thaw(model_t *m, uint32_t a, uint32_t b);
static void on_new_document(model_t *m, uint32_t a, uint32_t b);
static void on_adopt_document(model_t *m, uint32_t a, uint32_t b);
static void on_heartbeat(model_t *m, uint32_t a, uint32_t b);
static void on_start_runs(model_t *m, uint32_t a, uint32_t b);
static void on_borrow(model_t *m, uint32_t a, uint32_t b);
static void on_return_loan(model_t *m, uint32_t a, uint32_t b);
static void on_finish_run(model_t *m, uint32_t a, uint32_t b);
static void on_fill_claims(model_t *m, uint32_t a, uint32_t b);

static const handler_t handlers[] = {
	[EV_SUBMIT] = on_submit,
	[EV_DELIVER] = on_deliver,
	[EV_DUPLICATE] = on_duplicate,
	[EV_DROP] = on_drop,
	[EV_TIMEOUT] = on_timeout,
	[EV_TICK] = on_tick,
	[EV_WAIT] = on_wait,
	[EV_CRASH] = on_crash,
	[EV_START_HOST] = on_start_host,
	[EV_FREEZE] = on_freeze,
	[EV_THAW] = on_thaw,
	[EV_NEW_DOCUMENT] = on_new_document,
	[EV_ADOPT_DOCUMENT] = on_adopt_document,
	[EV_HEARTBEAT] = on_heartbeat,
	[EV_START_RUNS] = on_start_runs,
	[EV_BORROW] = on_borrow,
	[EV_RETURN_LOAN] = on_return_loan,
	[EV_FINISH_RUN] = on_finish_run,
	[EV_FILL_CLAIMS] = on_fill_claims,
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
	m->now += ms_time(2 * CLAIM_WINDOW_MS);
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
	unsigned used_slots[DOMAINS] = { 0 };
	guint i;

	handlers[event->kind](m, event->a, event->b);
	for (i = 0; i < m->runs->len; i++)
		used_slots[g_array_index(m->runs, run_t, i).domain]++;
	for (i = 0; i < DOMAINS; i++)
		if (used_slots[i] > SLOTS)
			m->violation =
				"an executor runs more requests than its slots";
	for (i = 0; i < KEYS; i++) {
		if (m->keys[i].runs > 1)
			m->violation = "a request ran twice";
		if (m->keys[i].runs && m->keys[i].reported_not_run)
			m->violation = "a request reported as not run has run";
	}
	return m->violation;
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
			REQUEST_MAX_MS, CLAIM_WINDOW_MS);
	for (h = 0; h < HOSTS; h++)
		g_string_append_printf(
			text,
			"[entry %s]\ndomain=d%u\naddress=127.0.0.%u\n"
			"front_port=1\nconsole_port=2\npeer_port=3\n"
			"state=%s\n",
			host_name(h), host_domain(h), h + 1,
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
	host->incarnation = ++m->next_id;
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

static unsigned host_domain(unsigned h)
{
	return h < D0_HOSTS ? 0 : 1;
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

static gh_claim_key_t make_claim_key(unsigned key)
{
	gh_claim_key_t out = { { 0 } };

	memcpy(out.bytes, &key, sizeof(key));
	return out;
}

/* A caller submits a new request, or repeats one within the claim window. */
static void on_submit(model_t *m, uint32_t a, uint32_t b)
{
	unsigned h = b % HOSTS;
	request_key_t *key = &m->keys[a % KEYS];
	message_t msg = { .kind = MSG_SUBMISSION, .to = h };

	if (!key->submissions ||
	    m->now > key->first_sent + 2 * ms_time(CLAIM_WINDOW_MS))
		*key = (request_key_t){ .id = (unsigned)++m->next_id,
					.first_sent = m->now };
	if (m->now >
	    key->first_sent + ms_time(CLAIM_WINDOW_MS - 2 * REQUEST_MAX_MS))
		return;
	msg.key = key->id;
	msg.submission = key->submissions++;
	msg.incarnation = m->hosts[h].incarnation;
	key->reported_not_run = false;
	msg.sent_at = m->now;
	if (m->hosts[h].alive)
		post_message(m, msg);
}

/* Returns the record of a request key, or an unused record if the key was
 * replaced. */
static request_key_t *find_key(model_t *m, unsigned id)
{
	static request_key_t unused;
	unsigned i;

	for (i = 0; i < KEYS; i++)
		if (m->keys[i].id == id)
			return &m->keys[i];
	unused = (request_key_t){ 0 };
	return &unused;
}

static void receive_submission(model_t *m, const message_t *msg)
{
	unsigned h = msg->to;
	host_t *host = &m->hosts[h];
	attempt_t attempt = { .key = msg->key, .submission = msg->submission };
	gh_claim_request_t request = { .key = make_claim_key(attempt.key),
				       .holder = host_name(h),
				       .window_ms = CLAIM_WINDOW_MS };

	/* A host drops requests if it is not active, or if they are too old to
	 * run after a pause. */
	if (host->doc->entries[h].state != GH_HOST_ACTIVE ||
	    m->now > msg->sent_at + ms_time(2 * REQUEST_MAX_MS))
		return;
	attempt.id = ++m->next_id;
	attempt.deadline = m->now + ms_time(REQUEST_MAX_MS);
	request.attempt_id = attempt.id;
	request.generation = host->doc->generation;
	attempt.own_status =
		gh_claim_take(host->claims, &request, m->now, NULL);
	attempt.n_hosts_to_ask =
		attempt.submission ?
			gh_claim_other_hosts(host->doc, (gh_handle_t)h,
					     attempt.hosts_to_ask) :
			gh_claim_second_hosts(host->doc, (gh_handle_t)h,
					      attempt.hosts_to_ask);
	g_array_append_val(host->attempts, attempt);
	request_next_claims(m, h,
			    &g_array_index(host->attempts, attempt_t,
					   host->attempts->len - 1));
	decide_attempt(m, h, host->attempts->len - 1, false);
}

/*
 * Sends claim requests for an attempt: to one more host if it is a first
 * submission, to all hosts if it is a repeat.
 */
static void request_next_claims(model_t *m, unsigned h, attempt_t *attempt)
{
	do {
		gh_claim_reply_t *reply = &attempt->replies[attempt->n_asked];
		message_t msg = { .kind = MSG_CLAIM,
				  .from = h,
				  .incarnation = m->hosts[h].incarnation,
				  .generation = m->hosts[h].doc->generation,
				  .key = attempt->key,
				  .attempt_id = attempt->id };

		if (attempt->n_asked >= attempt->n_hosts_to_ask)
			return;
		reply->entry = attempt->hosts_to_ask[attempt->n_asked++];
		msg.to = reply->entry;
		post_message(m, msg);
	} while (attempt->submission);
}

static void record_claim_reply(model_t *m, const message_t *msg)
{
	host_t *host = &m->hosts[msg->to];
	guint i;
	size_t j;

	for (i = 0; i < host->attempts->len; i++) {
		attempt_t *attempt =
			&g_array_index(host->attempts, attempt_t, i);

		if (attempt->id != msg->attempt_id ||
		    m->now >= attempt->deadline)
			continue;
		for (j = 0; j < attempt->n_asked; j++)
			if (attempt->replies[j].entry == msg->from) {
				attempt->replies[j].replied = true;
				attempt->replies[j].status = msg->status;
			}
		decide_attempt(m, msg->to, i, false);
		return;
	}
}

/* Decides an attempt once all claim replies have arrived or timed_out is set.
 */
static void decide_attempt(model_t *m, unsigned h, size_t index, bool timed_out)
{
	host_t *host = &m->hosts[h];
	attempt_t attempt =
		g_array_index(host->attempts, attempt_t, (guint)index);
	gh_error_kind_t refusal = GH_E_DEADLINE;
	bool waiting = false;
	bool may_run;
	size_t i;

	for (i = 0; i < attempt.n_asked; i++)
		waiting |= !attempt.replies[i].replied;
	if (waiting && !timed_out)
		return;
	may_run = attempt.submission ?
			  gh_claim_repeat_may_run(
				  host->doc, (gh_handle_t)h, attempt.own_status,
				  attempt.replies, attempt.n_asked, &refusal) :
			  gh_claim_first_may_run(
				  host->doc, (gh_handle_t)h, attempt.own_status,
				  attempt.replies, attempt.n_asked, &refusal);
	if (!may_run && !attempt.submission && refusal == GH_E_CLAIM_NO_PEER &&
	    attempt.n_asked < attempt.n_hosts_to_ask) {
		request_next_claims(m, h,
				    &g_array_index(host->attempts, attempt_t,
						   (guint)index));
		return;
	}
	g_array_remove_index(host->attempts, (guint)index);
	if (may_run && m->now < attempt.deadline)
		dispatch_attempt(m, h, &attempt);
	else
		refuse_attempt(m, h, &attempt,
			       may_run ? GH_E_DEADLINE : refusal);
}

static void dispatch_attempt(model_t *m, unsigned h, attempt_t *attempt)
{
	if (start_run(m, h, ms_time(REQUEST_MAX_MS / 2)))
		find_key(m, attempt->key)->runs++;
	else
		refuse_attempt(m, h, attempt, GH_E_NO_EXECUTOR);
}

/*
 * Refuses an attempt as the front of an entry host does: a repeat is never
 * reported as not run, as an earlier attempt can still run.
 */
static void refuse_attempt(model_t *m, unsigned h, const attempt_t *attempt,
			   gh_error_kind_t refusal)
{
	request_key_t *key = find_key(m, attempt->key);

	release_claims(m, h, attempt);
	if (attempt->submission)
		return;
	if (gh_error_ran(refusal) == GH_RAN_NO &&
	    attempt->submission + 1 == key->submissions)
		key->reported_not_run = true;
}

static void release_claims(model_t *m, unsigned h, const attempt_t *attempt)
{
	gh_claim_key_t key = make_claim_key(attempt->key);
	size_t i;

	gh_claim_release(m->hosts[h].claims, &key, attempt->id);
	for (i = 0; i < attempt->n_asked; i++) {
		message_t msg = { .kind = MSG_CLAIM_RELEASE,
				  .from = h,
				  .to = attempt->replies[i].entry,
				  .key = attempt->key,
				  .attempt_id = attempt->id };

		post_message(m, msg);
	}
}

static bool start_run(model_t *m, unsigned h, gh_time_t duration)
{
	host_t *host = &m->hosts[h];
	run_t run = { .domain = host_domain(h),
		      .host = h,
		      .incarnation = host->incarnation,
		      .end_time = m->now + duration };

	if (!gh_credit_ready(host->credit, m->now))
		return false;
	run.hold =
		gh_credit_take(host->credit, executor_name(run.domain), m->now);
	if (!run.hold)
		return false;
	g_array_append_val(m->runs, run);
	return true;
}

static void post_message(model_t *m, message_t msg)
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
		receive_message(m, &msg);
}

static void on_duplicate(model_t *m, uint32_t a, uint32_t b)
{
	message_t msg;

	(void)b;
	if (!m->messages->len)
		return;
	msg = g_array_index(m->messages, message_t, a % m->messages->len);
	if (msg.kind != MSG_SUBMISSION)
		post_message(m, msg);
}

static void on_drop(model_t *m, uint32_t a, uint32_t b)
{
	(void)b;
	if (m->messages->len)
		g_array_remove_index(m->messages, a % m->messages->len);
}

static void receive_claim(model_t *m, const message_t *msg)
{
	host_t *host = &m->hosts[msg->to];
	gh_claim_request_t request = { .key = make_claim_key(msg->key),
				       .attempt_id = msg->attempt_id,
				       .holder = host_name(msg->from),
				       .generation = msg->generation,
				       .window_ms = CLAIM_WINDOW_MS };
	message_t reply = *msg;

	reply.kind = MSG_CLAIM_REPLY;
	reply.from = msg->to;
	reply.to = msg->from;
	reply.status = gh_claim_take_for_peer(host->claims, host->doc, &request,
					      m->now, NULL);
	post_message(m, reply);
}

static void receive_loan_request(model_t *m, const message_t *msg)
{
	host_t *host = &m->hosts[msg->to];
	gh_credit_loan_request_t request = { .executor =
						     executor_name(msg->domain),
					     .borrower = host_name(msg->from),
					     .generation = msg->generation,
					     .loan_id = msg->attempt_id,
					     .wanted = msg->count };
	message_t reply = *msg;

	if (!gh_credit_ready(host->credit, m->now))
		return;
	reply.kind = MSG_LOAN;
	reply.from = msg->to;
	reply.to = msg->from;
	reply.count =
		gh_credit_lend(host->credit, &request, &reply.loan_ms, m->now);
	post_message(m, reply);
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
				  .requested_at = msg->sent_at };

	gh_credit_record_loan(host->credit, &loan);
}

/*
 * Delivers a message.  A reply reaches only the process that sent the request.
 */
static void receive_message(model_t *m, const message_t *msg)
{
	host_t *host = &m->hosts[msg->to];
	gh_claim_key_t key = make_claim_key(msg->key);

	switch (msg->kind) {
	case MSG_SUBMISSION:
		if (msg->incarnation == host->incarnation)
			receive_submission(m, msg);
		break;
	case MSG_CLAIM:
		receive_claim(m, msg);
		break;
	case MSG_CLAIM_REPLY:
		if (msg->incarnation == host->incarnation)
			record_claim_reply(m, msg);
		break;
	case MSG_CLAIM_RELEASE:
		gh_claim_release(host->claims, &key, msg->attempt_id);
		break;
	case MSG_HEARTBEAT:
		if (m->hosts[msg->from].alive &&
		    msg->incarnation == m->hosts[msg->from].incarnation)
			gh_credit_set_peer_generation(host->credit,
						      host_name(msg->from),
						      msg->generation, m->now);
		break;
	case MSG_LOAN_REQUEST:
		receive_loan_request(m, msg);
		break;
	case MSG_LOAN:
		if (msg->incarnation == host->incarnation)
			receive_loan(m, msg);
		break;
	case MSG_LOAN_RETURN:
		gh_credit_record_return(host->credit, host_name(msg->from),
					msg->attempt_id, msg->count);
		break;
	}
}

static void on_timeout(model_t *m, uint32_t a, uint32_t b)
{
	host_t *host = &m->hosts[a % HOSTS];

	if (is_up(m, a % HOSTS) && host->attempts->len)
		decide_attempt(m, a % HOSTS, b % host->attempts->len, true);
}

static void on_tick(model_t *m, uint32_t a, uint32_t b)
{
	(void)b;
	advance_time(m, a % STEP_MS);
}

static void on_wait(model_t *m, uint32_t a, uint32_t b)
{
	(void)b;
	advance_time(m, a % HALF_WAIT_MAX_MS * 2);
}

/*
 * Advances the time in steps; in each, the hosts that are up update their
 * credits and exchange heartbeats.
 */
static void advance_time(model_t *m, int64_t ms)
{
	unsigned h;

	for (; ms > 0; ms -= STEP_MS) {
		m->now += ms_time(MIN(ms, STEP_MS));
		finish_due_runs(m);
		for (h = 0; h < HOSTS; h++)
			if (is_up(m, h))
				gh_credit_tick(m->hosts[h].credit, m->now);
		for (h = 0; h < HOSTS; h++)
			if (is_up(m, h))
				exchange_heartbeats(m, h);
	}
}

static void finish_due_runs(model_t *m)
{
	guint i;

	for (i = m->runs->len; i-- > 0;)
		if (g_array_index(m->runs, run_t, i).end_time <= m->now)
			on_finish_run(m, i, 0);
}

static void on_crash(model_t *m, uint32_t a, uint32_t b)
{
	(void)b;
	stop_host(&m->hosts[a % HOSTS]);
}

/* Starts a host's process with the newest document, or with that of another
 * host. */
static void on_start_host(model_t *m, uint32_t a, uint32_t b)
{
	unsigned h = a % HOSTS;
	unsigned other = b % HOSTS;

	if (m->hosts[h].alive)
		return;
	if (b % 2 && is_up(m, other))
		start_host(m, h, m->hosts[other].doc);
	else
		start_host(m, h, m->docs[m->n_docs - 1]);
	exchange_heartbeats(m, h);
}

/*
 * Exchanges heartbeats between a host and the others of its domain.  The model
 * has no network partition inside a domain, so the heartbeats of all hosts
 * that are up arrive.
 */
static void exchange_heartbeats(model_t *m, unsigned h)
{
	unsigned i;

	for (i = 0; i < HOSTS; i++) {
		if (i == h || host_domain(i) != host_domain(h) || !is_up(m, i))
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
	exchange_heartbeats(m, a % HOSTS);
}

/* Changes a host's state in a new document; to gone only if the host has
 * crashed. */
static void on_new_document(model_t *m, uint32_t a, uint32_t b)
{
	unsigned h = a % HOSTS;
	gh_host_state_t state = (gh_host_state_t)(b % 3);

	if (m->n_docs == GENERATIONS_MAX || m->states[h] == state ||
	    (state == GH_HOST_GONE && m->hosts[h].alive))
		return;
	m->states[h] = state;
	m->docs[m->n_docs] = make_document(m);
	m->n_docs++;
}

static void on_adopt_document(model_t *m, uint32_t a, uint32_t b)
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

static void on_heartbeat(model_t *m, uint32_t a, uint32_t b)
{
	message_t msg = { .kind = MSG_HEARTBEAT,
			  .from = a % HOSTS,
			  .to = b % HOSTS };

	if (!is_up(m, msg.from) || msg.from == msg.to)
		return;
	msg.incarnation = m->hosts[msg.from].incarnation;
	msg.generation = m->hosts[msg.from].doc->generation;
	post_message(m, msg);
}

static void on_start_runs(model_t *m, uint32_t a, uint32_t b)
{
	unsigned h = a % HOSTS;
	uint32_t n = b % SLOTS + 1;

	while (is_up(m, h) && n-- &&
	       start_run(m, h, ms_time(b % REQUEST_MAX_MS + 1)))
		continue;
}

static void on_borrow(model_t *m, uint32_t a, uint32_t b)
{
	message_t msg = { .kind = MSG_LOAN_REQUEST,
			  .from = a % HOSTS,
			  .to = b % HOSTS,
			  .count = b % 3 + 1,
			  .attempt_id = ++m->next_id,
			  .sent_at = m->now };

	msg.domain = host_domain(msg.from);
	if (!is_up(m, msg.from) || msg.from == msg.to ||
	    msg.domain != host_domain(msg.to))
		return;
	msg.incarnation = m->hosts[msg.from].incarnation;
	msg.generation = m->hosts[msg.from].doc->generation;
	post_message(m, msg);
}

static void on_return_loan(model_t *m, uint32_t a, uint32_t b)
{
	host_t *host = &m->hosts[a % HOSTS];
	message_t msg = { .kind = MSG_LOAN_RETURN, .from = a % HOSTS };
	gh_credit_return_t ret;

	if (!is_up(m, a % HOSTS) ||
	    !gh_credit_next_return(host->credit, b % 4 == 0, m->now, &ret))
		return;
	while (strcmp(host_name(msg.to), ret.lender) != 0)
		msg.to++;
	msg.attempt_id = ret.loan_id;
	msg.count = ret.count;
	post_message(m, msg);
}

/* Ends a run; its host is notified unless the host has crashed or is frozen. */
static void on_finish_run(model_t *m, uint32_t a, uint32_t b)
{
	host_t *host;
	run_t run;

	(void)b;
	if (!m->runs->len)
		return;
	run = g_array_index(m->runs, run_t, a % m->runs->len);
	g_array_remove_index(m->runs, a % m->runs->len);
	host = &m->hosts[run.host];
	if (is_up(m, run.host) && host->incarnation == run.incarnation)
		gh_credit_done(host->credit, run.hold);
}

/* Fills a claim table with claims to unrelated keys. */
static void on_fill_claims(model_t *m, uint32_t a, uint32_t b)
{
	unsigned h = a % HOSTS;
	gh_claim_request_t request = { .holder = host_name(h),
				       .window_ms = CLAIM_WINDOW_MS };
	unsigned i;

	(void)b;
	for (i = 0; is_up(m, h) && i < FILL_CLAIMS; i++) {
		request.key = make_claim_key((unsigned)++m->next_id);
		request.attempt_id = ++m->next_id;
		gh_claim_take(m->hosts[h].claims, &request, m->now, NULL);
	}
}
