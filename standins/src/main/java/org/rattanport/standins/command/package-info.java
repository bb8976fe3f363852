/** Commands that run stand-ins as processes of their own. */
@NullMarked
package org.rattanport.standins.command;

import org.jspecify.annotations.NullMarked;
