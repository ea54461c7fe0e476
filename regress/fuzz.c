#include "fuzz.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "error.h"

#define CORPUS_DIR "regress/corpus"
#define INPUTS_DEFAULT 3000
#define SEED_DEFAULT 1
#define MUTATIONS_MAX 6
/* A range is repeated only while the input is smaller. */
#define INPUT_MAX_BYTES (64 * 1024)
#define REPEAT_MAX 64

typedef struct fuzz {
	uint64_t random_state; /* state of a xorshift generator, never 0 */
	GString *input;
} fuzz_t;

typedef void (*mutation_t)(fuzz_t *fuzz);

static void flip_bit(fuzz_t *fuzz);
static void set_byte(fuzz_t *fuzz);
static void cut_tail(fuzz_t *fuzz);
static void cut_range(fuzz_t *fuzz);
static void repeat_range(fuzz_t *fuzz);
static void insert_token(fuzz_t *fuzz);
static void swap_lines(fuzz_t *fuzz);

static const mutation_t mutations[] = {
	flip_bit,     set_byte,	    cut_tail,	cut_range,
	repeat_range, insert_token, swap_lines,
};

static const char *const tokens[] = {
	"[",
	"]",
	"=",
	"\n",
	";",
	"#",
	"-1",
	"0",
	"4294967296",
	"1e308",
	"policy",
	"[policy]\n",
	"[worker ",
	"state=gone\n",
	"\xff\xfe",
	"\xc3\x28",
	"%s%n",
	"127.0.0.1:65536",
	"{\"a\":",
	"null",
	"\\u0000",
	"../",
	"\r\n",
	"\t",
	"99999999999999999999",
};

static uint64_t random_number(fuzz_t *fuzz)
{
	fuzz->random_state ^= fuzz->random_state << 13;
	fuzz->random_state ^= fuzz->random_state >> 7;
	fuzz->random_state ^= fuzz->random_state << 17;
	return fuzz->random_state;
}

static size_t random_below(fuzz_t *fuzz, size_t n)
{
	return n ? random_number(fuzz) % n : 0;
}

static uint64_t env_number(const char *name, uint64_t fallback)
{
	const char *text = getenv(name);

	return text && *text ? strtoull(text, NULL, 10) : fallback;
}

/* Reads the corpus files whose names start with a prefix, sorted by name. */
static GPtrArray *read_corpus(const char *prefix)
{
	GPtrArray *texts = g_ptr_array_new();
	GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
	GDir *dir = g_dir_open(CORPUS_DIR, 0, NULL);
	const char *name;
	guint i;

	assert_non_null(dir);
	while ((name = g_dir_read_name(dir)))
		if (g_str_has_prefix(name, prefix))
			g_ptr_array_add(names, g_build_filename(CORPUS_DIR,
								name, NULL));
	g_dir_close(dir);
	g_ptr_array_sort(names, (GCompareFunc)(void (*)(void))g_strcmp0);
	for (i = 0; i < names->len; i++) {
		char *text;
		gsize len;

		assert_true(g_file_get_contents(names->pdata[i], &text, &len,
						NULL));
		g_ptr_array_add(texts, g_string_new_len(text, (gssize)len));
		g_free(text);
	}
	g_ptr_array_unref(names);
	assert_true(texts->len > 0);
	return texts;
}

void fuzz_parser(const char *prefix, fuzz_parser_t parse)
{
	GPtrArray *corpus = read_corpus(prefix);
	uint64_t n = env_number("FUZZ_N", INPUTS_DEFAULT);
	fuzz_t fuzz = { .random_state = env_number("FUZZ_SEED", SEED_DEFAULT) |
					1ull << 40 };
	uint64_t accepted = 0;
	uint64_t i;

	for (i = 0; i < n; i++) {
		GString *seed = corpus->pdata[i % corpus->len];
		size_t n_mutations =
			i < corpus->len ?
				0 :
				1 + random_below(&fuzz, MUTATIONS_MAX);
		GError *err = NULL;

		fuzz.input = g_string_new_len(seed->str, (gssize)seed->len);
		while (n_mutations--)
			mutations[random_below(&fuzz, G_N_ELEMENTS(mutations))](
				&fuzz);
		if (parse(fuzz.input, &err)) {
			assert_null(err);
			accepted++;
		} else {
			assert_non_null(err);
			assert_true(err->domain == GH_ERROR);
			assert_true(strlen(err->message) > 0);
			g_error_free(err);
		}
		g_string_free(fuzz.input, TRUE);
	}
	print_message("%s: %" G_GUINT64_FORMAT " inputs, %" G_GUINT64_FORMAT
		      " accepted\n",
		      prefix, n, accepted);
	for (i = 0; i < corpus->len; i++)
		g_string_free(corpus->pdata[i], TRUE);
	g_ptr_array_unref(corpus);
}

static void flip_bit(fuzz_t *fuzz)
{
	if (fuzz->input->len)
		fuzz->input->str[random_below(fuzz, fuzz->input->len)] ^=
			(char)(1u << random_below(fuzz, 8));
}

static void set_byte(fuzz_t *fuzz)
{
	if (fuzz->input->len)
		fuzz->input->str[random_below(fuzz, fuzz->input->len)] =
			(char)random_number(fuzz);
}

static void cut_tail(fuzz_t *fuzz)
{
	g_string_truncate(fuzz->input,
			  random_below(fuzz, fuzz->input->len + 1));
}

static void cut_range(fuzz_t *fuzz)
{
	size_t at = random_below(fuzz, fuzz->input->len + 1);
	size_t len = random_below(fuzz, fuzz->input->len - at + 1);

	g_string_erase(fuzz->input, (gssize)at, (gssize)len);
}

static void repeat_range(fuzz_t *fuzz)
{
	size_t at = random_below(fuzz, fuzz->input->len + 1);
	size_t len = random_below(fuzz, fuzz->input->len - at + 1);
	size_t copies = 1 + random_below(fuzz, REPEAT_MAX);
	char *range = g_strndup(fuzz->input->str + at, len);

	while (copies-- && fuzz->input->len < INPUT_MAX_BYTES)
		g_string_insert(fuzz->input, (gssize)at, range);
	g_free(range);
}

static void insert_token(fuzz_t *fuzz)
{
	size_t at = random_below(fuzz, fuzz->input->len + 1);

	g_string_insert(fuzz->input, (gssize)at,
			tokens[random_below(fuzz, G_N_ELEMENTS(tokens))]);
}

static void swap_lines(fuzz_t *fuzz)
{
	char **lines = g_strsplit(fuzz->input->str, "\n", -1);
	size_t n = g_strv_length(lines);
	size_t a = random_below(fuzz, n);
	size_t b = random_below(fuzz, n);
	char *joined;

	if (n) {
		char *line = lines[a];

		lines[a] = lines[b];
		lines[b] = line;
	}
	joined = g_strjoinv("\n", lines);
	g_string_assign(fuzz->input, joined);
	g_free(joined);
	g_strfreev(lines);
}
