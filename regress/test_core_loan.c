/*
 * Tests of loans of slot credits between two hosts of one domain: the lender
 * gets its slots back when the borrower's request has ended or must have
 * ended.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <string.h>

#include "core_credit.h"

#define EXECUTOR "x"
#define START_USEC (3600 * GH_USEC_PER_SEC)

static const char document_text[] =
	"[policy]\nrequest_max_ms=30000\n"
	"[department d]\nweight=1\nguarantee_percent=50\nlimit_percent=100\n"
	"[service s]\ndepartment=d\nclass=latency\nexpected_ms=10\n"
	"[domain z]\nregion=r\n"
	"[entry a]\ndomain=z\naddress=10.0.0.1\nfront_port=1\n"
	"console_port=2\npeer_port=3\n"
	"[entry b]\ndomain=z\naddress=10.0.0.2\nfront_port=1\n"
	"console_port=2\npeer_port=3\n"
	"[executor x]\ndomain=z\naddress=10.0.0.3:80\nslots=8\n"
	"connections=64\n";

/* Times are measured from the request for the loan. */
typedef struct loan_case {
	const char *name;
	gh_time_t ends_after; /* end of the borrower's request; 0: unknown */
	gh_time_t checked_after;
	unsigned lender_free; /* lender's free slots at checked_after */
} loan_case_t;

static const loan_case_t cases[] = {
	{ "ended within the loan", 100 * GH_USEC_PER_MSEC,
	  150 * GH_USEC_PER_MSEC, 4 },
	{ "ended after the loan", 2 * GH_USEC_PER_SEC, 3 * GH_USEC_PER_SEC, 4 },
	{ "end unknown, slot still taken", 0, 20 * GH_USEC_PER_SEC, 3 },
	{ "end unknown, longest request over", 0, 31 * GH_USEC_PER_SEC, 4 },
};

static gh_credit_t *new_host(const gh_document_t *doc, const char *self,
			     const char *other)
{
	gh_credit_t *credit = gh_credit_new(self, 0);

	gh_credit_apply(credit, doc, 0);
	gh_credit_set_peer_generation(credit, other, doc->generation, 0);
	assert_true(gh_credit_ready(credit, START_USEC));
	return credit;
}

static void return_all(gh_credit_t *from, gh_credit_t *to, gh_time_t now)
{
	gh_credit_return_t ret;

	while (gh_credit_next_return(from, false, now, &ret))
		gh_credit_record_return(to, "b", ret.loan_id, ret.count);
}

static void check_loan(const gh_document_t *doc, const loan_case_t *c)
{
	gh_credit_t *lender = new_host(doc, "a", "b");
	gh_credit_t *borrower = new_host(doc, "b", "a");
	gh_credit_loan_request_t request = {
		.executor = EXECUTOR,
		.borrower = "b",
		.generation = doc->generation,
		.loan_id = 7,
		.wanted = 1,
	};
	gh_credit_loan_t loan = {
		.executor = EXECUTOR,
		.lender = "a",
		.generation = doc->generation,
		.loan_id = 7,
		.requested_at = START_USEC,
	};
	gh_credit_hold_t holds[5];
	gh_time_t now;
	int i;

	loan.count =
		gh_credit_lend(lender, &request, &loan.loan_ms, START_USEC);
	assert_int_equal(loan.count, 1);
	gh_credit_record_loan(borrower, &loan);
	for (i = 0; i < 5; i++)
		holds[i] = gh_credit_take(borrower, EXECUTOR, START_USEC + 1);
	assert_int_not_equal(holds[4], GH_CREDIT_NO_HOLD);
	for (now = START_USEC; now <= START_USEC + c->checked_after;
	     now += 10 * GH_USEC_PER_MSEC) {
		if (c->ends_after && now == START_USEC + c->ends_after)
			gh_credit_done(borrower, holds[4]);
		gh_credit_view(borrower, EXECUTOR, now);
		return_all(borrower, lender, now);
	}
	assert_int_equal(gh_credit_view(lender, EXECUTOR, now).free,
			 c->lender_free);
	gh_credit_free(lender);
	gh_credit_free(borrower);
}

static void test_loans_come_back(void **state)
{
	gh_document_t *doc = gh_document_parse(document_text,
					       strlen(document_text), 1, NULL);
	size_t i;

	(void)state;
	assert_non_null(doc);
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		print_message("%s\n", cases[i].name);
		check_loan(doc, &cases[i]);
	}
	gh_document_unref(doc);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_loans_come_back),
	};

	return cmocka_run_group_tests_name("core-loan", tests, NULL, NULL);
}
