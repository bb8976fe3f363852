/** Generated cases of responses that end at any byte, for the tests of several modules. */
@NullMarked
package org.rattanport.kernel.exchange;

import org.jspecify.annotations.NullMarked;
