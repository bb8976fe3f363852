/** Demo scenarios that run the system end to end and check each of its promises. */
@NullMarked
package org.rattanport.benchmark.demo;

import org.jspecify.annotations.NullMarked;
