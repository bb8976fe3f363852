/** Serving of prompts, from admission to the last chunk of the answer. */
@NullMarked
package org.rattanport.decisions.prompt;

import org.jspecify.annotations.NullMarked;
