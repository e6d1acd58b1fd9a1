/* Label sets and label selectors.
 *
 * A selector is a list of terms that must all hold, separated by commas:
 *   key=value  key==value  key!=value  key in (a,b)  key notin (a,b)
 *   key  !key
 * as operators know them from label selectors elsewhere. The empty selector
 * matches everything. */
#ifndef WP_LABELS_H
#define WP_LABELS_H

#include "wp_base.h"

typedef struct WPLabels WPLabels; /* a small ordered map */
typedef struct WPSelector WPSelector;

WPLabels *wp_labels_new(void);
WPLabels *wp_labels_copy(const WPLabels *l);
void wp_labels_free(WPLabels *l);

/* Sets a label; returns whether that changed anything. */
bool wp_labels_set(WPLabels *l, WPStr key, WPStr value);

/* NULL when the key is absent; else a zero-ended string owned by `l`. */
const char *wp_labels_get(const WPLabels *l, WPStr key);
size_t wp_labels_count(const WPLabels *l);
void wp_labels_at(const WPLabels *l, size_t i, const char **key,
                  const char **value);

/* Compiles `text`; NULL and an error that names the term when it is wrong. */
WPSelector *wp_selector_new(WPStr text, GError **error);
void wp_selector_free(WPSelector *s);

/* Whether the labels match; `over`, if given, is looked up first. */
bool wp_selector_match(const WPSelector *s, const WPLabels *over,
                       const WPLabels *labels);

/* Calls `fn` for each key the selector speaks of. */
void wp_selector_keys(const WPSelector *s, void (*fn)(void *, const char *),
                      void *arg);

#endif
